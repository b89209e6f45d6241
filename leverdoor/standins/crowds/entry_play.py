# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Plays a crowd against one endpoint of an entry, another entry beside it.

Owns the site of the play, which ends with it.
"""

import asyncio
import signal
from collections.abc import Mapping
from functools import partial

from leverdoor.settings import parse_address
from leverdoor.standins.crowds.crowd import Crowd, Endpoint
from leverdoor.standins.crowds.disturbances import Disturbance, disturb
from leverdoor.standins.crowds.play import (
    CrowdResult,
    Watched,
    kill_when_set,
    play_crowd,
)
from leverdoor.standins.entry_process import EntryProcess, Place
from leverdoor.standins.entry_site import EntrySite
from leverdoor.standins.upstreams import UpstreamStandin

__all__ = ["ENDPOINTS", "LARGE_ANSWERS", "SMALL_VM", "play_at_entry"]

ENDPOINTS = ("route", "no-route", "look-ups", "readiness")
"""Where clients may come at an entry."""
LARGE_ANSWERS = "large-answers"
"""A route whose answers have `LARGE_ANSWER_BYTES`."""
LARGE_PATH = "/look/large"
LARGE_ANSWER_BYTES = 4_000_000
"""Length by which these answers are longer, in bytes."""
SMALL_VM = {"memory-mb": 300, "file-descriptors": 4_100}
"""Resources of a small VM of the users, as its settings name them."""
PLACES = {"n1": Place("a1", "a"), "n2": Place("a1", "a")}
TARGETS_PER_SERVICE = 4
"""Number of targets of each service."""
SLOTS = 8
"""Requests that a target runs at once."""


async def play_at_entry(
    crowd: Crowd,
    endpoint: str,
    seconds: float,
    resources: Mapping[str, int] = SMALL_VM,
    deadline_s: float = 3.0,
    disturbance: Disturbance | None = None,
) -> CrowdResult:
    """Play a crowd against an entry of a site of its own.

    Args:
      crowd: its clients.
      endpoint: where they go, one of `ENDPOINTS`.
      seconds: how long.
      resources: the resources of the entry's VM.
      deadline_s: how long an ordinary caller waits, in seconds.
      disturbance: what else happens to the entry. While it starts again, ordinary
        callers go to the other entry.
    Raises:
      TimeoutError: the entry did not end, or did not become ready again, in time.
    """
    site = EntrySite(PLACES, _targets(), resources=resources)
    try:
        await site.start()
        return await _play(
            site, crowd, endpoint, seconds, resources, deadline_s, disturbance
        )
    finally:
        await site.stop()


def _targets() -> list[UpstreamStandin]:
    targets = [
        UpstreamStandin(f"i-{service}-{number}", service, "a1", SLOTS, 0.005)
        for service in ("look", "file")
        for number in range(TARGETS_PER_SERVICE)
    ]
    for target in targets:
        target.padding_bytes[LARGE_PATH] = LARGE_ANSWER_BYTES
    return targets


async def _play(
    site: EntrySite,
    crowd: Crowd,
    endpoint: str,
    seconds: float,
    resources: Mapping[str, int],
    deadline_s: float,
    disturbance: Disturbance | None,
) -> CrowdResult:
    entry = site.entries["n1"]
    asked = site.entries["n2"] if disturbance is Disturbance.RESTART else entry
    kill = asyncio.Event()
    end = partial(entry.send, signal.SIGKILL)
    killer = asyncio.create_task(kill_when_set(kill, end))
    play = play_crowd(
        crowd,
        _crowd_endpoint(entry, endpoint),
        _watched(entry, resources),
        _ordinary(asked, endpoint),
        kill,
        seconds,
        deadline_s,
    )
    try:
        if disturbance is None:
            result = await play
        else:
            beside = disturb(disturbance, site, entry, seconds)
            result, _ = await asyncio.gather(play, beside)
    finally:
        killer.cancel()
    ran = {run.request_id for target in site.targets.values() for run in target.runs}
    result.broken = [name for name in result.crowd.not_run if name in ran]
    return result


def _crowd_endpoint(entry: EntryProcess, endpoint: str) -> Endpoint:
    ports = entry.ports
    endpoints = {
        "route": Endpoint(ports["frontend"], "/file/crowd"),
        LARGE_ANSWERS: Endpoint(ports["frontend"], LARGE_PATH),
        "no-route": Endpoint(ports["frontend"], "/none"),
        "look-ups": Endpoint(ports["directory"], "/api/resolve"),
        "readiness": Endpoint(ports["ready"], "/api/readiness"),
    }
    return endpoints[endpoint]


def _ordinary(entry: EntryProcess, endpoint: str) -> dict[str, Endpoint]:
    """Return where ordinary callers go: not to targets that a crowd keeps busy."""
    ports = entry.ports
    path = "/file/" if endpoint == LARGE_ANSWERS else "/look/"
    query = "?name=records.example&region=a&zone=a1"
    return {
        "requests": Endpoint(ports["frontend"], path),
        "look-ups": Endpoint(ports["directory"], f"/api/resolve{query}"),
        "readiness": Endpoint(ports["ready"], "/api/readiness"),
    }


def _watched(entry: EntryProcess, resources: Mapping[str, int]) -> Watched:
    addresses = [parse_address(address) for address in entry.ports.values()]
    return Watched(
        lambda: entry.pid,
        addresses[0].host,
        [address.port for address in addresses],
        resources["memory-mb"],
    )
