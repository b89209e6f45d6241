# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Plays targets with broken replies against an entry, and watches its memory.

Owns the site and the targets of the play, which end with it.
"""

import asyncio
import signal
from collections.abc import Mapping
from functools import partial

import msgspec

from leverdoor.settings import parse_address
from leverdoor.standins.broken_targets import BrokenReply, BrokenTarget
from leverdoor.standins.crowds.entry_play import SMALL_VM
from leverdoor.standins.crowds.play import (
    CrowdResult,
    Watched,
    kill_when_set,
    watch_memory,
)
from leverdoor.standins.entry_process import EntryProcess, Place
from leverdoor.standins.entry_site import Answer, EntrySite
from leverdoor.standins.upstreams import UpstreamStandin

__all__ = ["BrokenPlay", "PlayedTargets", "play_broken_replies"]

PLACES = {"n1": Place("a1", "a")}
SLOTS = 8
"""Requests that a sound target runs at once."""
WORK_S = 0.005
"""Time that a request takes at a sound target, in seconds."""
EARNING_REQUESTS = 30
"""Requests that fill the retry budget of an entry, before a target is broken."""


class BrokenPlay(msgspec.Struct, frozen=True):
    """How many targets a service has, and how many requests come."""

    sound: int
    """Sound targets of each service."""
    broken: int
    """Targets of each service whose replies are broken."""
    per_s: int
    """Requests of each kind in a second."""
    seconds: float
    deadline_s: float = 2.5
    """How long a client waits for an answer, in seconds."""


class PlayedTargets(msgspec.Struct):
    """What came of the requests of a play."""

    killed: bool = False
    """Whether the entry went over its memory and was killed."""
    peak_mb: float = 0.0
    """Greatest resident memory of the entry, in MiB."""
    statuses: dict[str, dict[int, int]] = msgspec.field(default_factory=dict)
    """By kind of request, the number of answers by status; 0 for no answer."""
    longest_s: float = 0.0
    """Longest time until a client had an answer, in seconds."""

    def unanswered(self) -> int:
        """Return how many requests ended without an answer."""
        return sum(counts.get(0, 0) for counts in self.statuses.values())

    def line(self) -> str:
        """Return the result in one line."""
        end = " KILLED" if self.killed else ""
        return (
            f"{self.peak_mb:.0f} MB{end}, {self.statuses}, longest {self.longest_s:.2f}"
        )


async def play_broken_replies(
    reply: BrokenReply, play: BrokenPlay, resources: Mapping[str, int] = SMALL_VM
) -> PlayedTargets:
    """Play broken replies of some targets of two services.

    Look-ups may run more than once, filings may not.

    Args:
      reply: with what the broken targets answer.
      play: the targets and the requests.
      resources: the resources of the entry's VM.
    """
    site = EntrySite(PLACES, _sound_targets(play), resources=resources)
    broken = [
        BrokenTarget(f"i-{service}-broken-{number}", service, "a1", reply)
        for service in ("look", "file")
        for number in range(play.broken)
    ]
    try:
        await site.start()
        if play.sound:
            await _earn_retries(site)
        for target in broken:
            await target.start()
            site.store.put(f"servers/{target.name}", target.registration())
        return await _play(site, play, resources)
    finally:
        await site.stop()
        for target in broken:
            await target.stop()


async def _earn_retries(site: EntrySite) -> None:
    """Send requests beside which the entry may retry some later ones."""
    for number in range(EARNING_REQUESTS):
        await site.request(site.entries["n1"], "GET", f"/look/{number}")


def _sound_targets(play: BrokenPlay) -> list[UpstreamStandin]:
    return [
        UpstreamStandin(f"i-{service}-{number}", service, "a1", SLOTS, WORK_S)
        for service in ("look", "file")
        for number in range(play.sound)
    ]


async def _play(
    site: EntrySite, play: BrokenPlay, resources: Mapping[str, int]
) -> PlayedTargets:
    entry = site.entries["n1"]
    kill = asyncio.Event()
    killer = asyncio.create_task(
        kill_when_set(kill, partial(entry.send, signal.SIGKILL))
    )
    memory = CrowdResult("broken replies")
    watch = asyncio.create_task(watch_memory(_watched(entry, resources), memory, kill))
    result = PlayedTargets()
    try:
        await _send_requests(site, entry, play, result)
    finally:
        watch.cancel()
        killer.cancel()
    result.killed = memory.killed or not entry.running
    result.peak_mb = memory.peak_mb
    return result


async def _send_requests(
    site: EntrySite, entry: EntryProcess, play: BrokenPlay, result: PlayedTargets
) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    calls = []
    for number in range(int(play.per_s * play.seconds)):
        due_at = started + number * 1.0 / play.per_s
        await asyncio.sleep(max(due_at - loop.time(), 0.0))
        for method, path in (("GET", "/look/"), ("POST", "/file/")):
            calls.append(
                asyncio.create_task(
                    _send(site, entry, method, f"{path}{number}", play, result)
                )
            )
    await asyncio.gather(*calls)


async def _send(
    site: EntrySite,
    entry: EntryProcess,
    method: str,
    path: str,
    play: BrokenPlay,
    result: PlayedTargets,
) -> None:
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    headers = {"X-Deadline-Ms": f"{play.deadline_s * 1000:.0f}"}
    body = b"{}" if method == "POST" else None
    answer = await site.request(entry, method, path, body, headers)
    result.longest_s = max(result.longest_s, loop.time() - sent_at)
    counts = result.statuses.setdefault(method, {})
    status = answer.status if _is_whole(answer) else 0
    counts[status] = counts.get(status, 0) + 1


def _is_whole(answer: Answer) -> bool:
    """Return whether a success has the body of a sound target."""
    return answer.status != 200 or answer.request_id.encode() in answer.body


def _watched(entry: EntryProcess, resources: Mapping[str, int]) -> Watched:
    addresses = [parse_address(address) for address in entry.ports.values()]
    return Watched(
        lambda: entry.pid,
        addresses[0].host,
        [address.port for address in addresses],
        resources["memory-mb"],
    )
