# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""An entry's ways to other entries, cut as a soak orders, each direction by itself.

Runs within the entry's process, on the product's own sockets. The file that `SOAK_CUTS`
names says what is lost; it is read again when it changes. A fetch whose request or
answer is lost goes to an address that takes connections and never answers, so that the
product's own time-outs end it.
"""

import os
from collections.abc import Iterable
from pathlib import Path

import msgspec

from leverdoor.entry.exchange.messages import Message
from leverdoor.entry.exchange.peer_network import SocketNetwork
from leverdoor.model.position import Position
from leverdoor.storage.state import Delta

__all__ = ["CUTS", "HarmedNetwork", "LostWays"]

CUTS = "SOAK_CUTS"
"""The environment variable with the path of the file."""


class LostWays(msgspec.Struct, frozen=True):
    """What one entry's messages and fetches meet, by the hosts of other entries."""

    unreached: list[str] = []
    """Hosts that nothing from here reaches."""
    unanswered: list[str] = []
    """Hosts from which nothing comes back to a fetch."""
    silent_address: str = ""
    """Takes connections and never answers, as `ip:port`."""


class HarmedNetwork(SocketNetwork):
    """The sockets of an entry, of which some ways lose all."""

    def __init__(self) -> None:
        """Create it; nothing is lost while there is no file."""
        super().__init__()
        self._path = Path(os.environ[CUTS])
        self._read_at = 0
        self._ways = LostWays()

    def _lost(self) -> LostWays:
        """Return what is lost now."""
        try:
            changed_at = self._path.stat().st_mtime_ns
        except FileNotFoundError:
            return self._ways
        if changed_at != self._read_at:
            self._read_at = changed_at
            self._ways = msgspec.json.decode(self._path.read_bytes(), type=LostWays)
        return self._ways

    def send_all(self, message: Message, to: Iterable[str]) -> None:
        """Send one datagram to each address that is reached."""
        unreached = self._lost().unreached
        super().send_all(message, [a for a in to if _host(a) not in unreached])

    async def fetch(self, address: str, since: Position) -> Delta:
        """Fetch what an entry has, or wait for an answer in vain."""
        ways = self._lost()
        if _host(address) in (*ways.unreached, *ways.unanswered):
            address = ways.silent_address
        return await super().fetch(address, since)


def _host(address: str) -> str:
    return address.rpartition(":")[0]
