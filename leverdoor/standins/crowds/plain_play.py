# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Plays a crowd against a gate or an agent of a plain site.

Owns the site of the play, which ends with it.
"""

import asyncio
import resource
import tempfile
from pathlib import Path

from leverdoor.settings import parse_address
from leverdoor.standins.crowds.crowd import Crowd, Endpoint
from leverdoor.standins.crowds.play import (
    CrowdResult,
    Watched,
    kill_when_set,
    play_crowd,
)
from leverdoor.standins.deployments import build
from leverdoor.standins.site import Site, configure

__all__ = ["PLAIN_ENDPOINTS", "play_at_plain_site"]

PLAIN_ENDPOINTS = ("gate", "agent")
"""The processes of a plain site that clients reach."""
MEMORY_MB = 300
"""Memory of the VM, in MiB."""
DESCRIPTORS = 4_100
"""File descriptors of the process."""
SCALE = 0.1
"""Size of the site, as a share of the utility's."""
VM = "vm00"


async def play_at_plain_site(
    crowd: Crowd, endpoint: str, seconds: float, deadline_s: float = 3.0
) -> CrowdResult:
    """Play a crowd against one process of a plain site of its own.

    Args:
      crowd: its clients.
      endpoint: which process, one of `PLAIN_ENDPOINTS`.
      seconds: how long.
      deadline_s: how long an ordinary caller waits, in seconds.
    """
    with tempfile.TemporaryDirectory() as logs:
        site = Site(build("utility", SCALE), Path(logs))
        try:
            await asyncio.to_thread(site.start)
            operator = await configure(site)
            await operator.close()
            return await _play(site, crowd, endpoint, seconds, deadline_s)
        finally:
            await asyncio.to_thread(site.stop)


async def _play(
    site: Site, crowd: Crowd, endpoint: str, seconds: float, deadline_s: float
) -> CrowdResult:
    process = site.processes[f"{endpoint}-{VM}"]
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    service = site.deployment.targets[0].service
    endpoints = {
        "gate": Endpoint(site.gate[VM], f"/s/{service}/crowd"),
        "agent": Endpoint(site.api[VM], "/v1/apply"),
    }
    ordinary = {"health": Endpoint(endpoints[endpoint].address, "/healthz")}
    if endpoint == "gate":
        ordinary["look-ups"] = Endpoint(site.gate[VM], f"/v1/lookup/{service}")
    address = parse_address(endpoints[endpoint].address)
    watched = Watched(lambda: process.pid, address.host, [address.port], MEMORY_MB)
    kill = asyncio.Event()
    killer = asyncio.create_task(kill_when_set(kill, process.kill))
    try:
        return await play_crowd(
            crowd, endpoints[endpoint], watched, ordinary, kill, seconds, deadline_s
        )
    finally:
        killer.cancel()
