# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Verifies that this entry reaches other targets than one that it does not reach.

Then that target is the likely cause, otherwise this entry's links are. Owns no state.
Relies on `LinkTable` for recent signs of life; without one, opens a few connections.
"""

import asyncio
from collections.abc import Callable, Mapping
from random import Random
from typing import TypeVar

from leverdoor.entry.links.link_table import LinkTable
from leverdoor.model.resources import Target
from leverdoor.settings import parse_address

__all__ = ["LinkVerifier", "open_target"]

P = TypeVar("P", bound=asyncio.Protocol)

PROBES = 2
"""Other targets that are tried."""
PROBE_TIMEOUT_S = 0.25
"""Connect timeout of these probes, in seconds: two round trips between regions."""


class LinkVerifier:
    """Tells a failed target from a lost link, as far as one entry can."""

    def __init__(
        self,
        links: LinkTable,
        targets: Callable[[], Mapping[str, Target]],
        rng: Random,
    ) -> None:
        """Create the verifier.

        Args:
          links: this entry's links.
          targets: returns the registered targets by name.
          rng: selects the targets that are tried.
        """
        self._links = links
        self._targets = targets
        self._rng = rng

    async def reaches_others(
        self, target: Target, *, refused: bool, since: float
    ) -> bool:
        """Return whether this entry reaches targets besides one that it does not reach.

        If its connections are refused, something answers at its address: any other
        target counts. If they are not answered, only targets of its group count.

        Args:
          target: the target that is not reached.
          refused: whether its connections are refused.
          since: loop time in seconds of the first sign of life that counts.
        """
        targets = self._targets()
        others = self._links.others_in_group(target)
        if refused or not others:
            if self._links.has_been_alive(since):
                return True
            others = [name for name in targets if name != target.name]
        elif self._links.group_has_been_alive(target, since):
            return True
        chosen = self._rng.sample(others, min(PROBES, len(others)))
        probes = [self._probe(targets[name]) for name in chosen if name in targets]
        return any(await asyncio.gather(*probes))

    async def _probe(self, target: Target) -> bool:
        loop = asyncio.get_running_loop()
        try:
            transport, _ = await open_target(target, asyncio.Protocol, PROBE_TIMEOUT_S)
        except (OSError, TimeoutError):
            return False
        transport.abort()
        self._links.record_alive(target, loop.time(), opened=True)
        return True


async def open_target(
    target: Target, create_protocol: Callable[[], P], timeout_s: float
) -> tuple[asyncio.Transport, P]:
    """Open a direct connection to a target.

    Args:
      target: the target.
      create_protocol: returns the protocol of the connection.
      timeout_s: connect timeout in seconds.
    Raises:
      OSError: the connection was refused or failed.
      TimeoutError: there was no response in time.
    """
    address = parse_address(target.address)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        return await loop.create_connection(create_protocol, address.host, address.port)
