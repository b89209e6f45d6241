# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Cuts an entry's connections to chosen addresses, within the entry's process.

The product is not changed: `install` replaces the event loop's `create_connection`. The
file that `LINK_CUTS` names says which addresses are cut, and how; it is read again when
it changes. Owns the open connections to all addresses of the file.

Loopback connections can't lose packets. A connection that hangs therefore keeps what it
is given to itself, and ends as the kernel would end it: with a timeout, once sent data
has not been acknowledged for the time that the product set.
"""

import asyncio
import os
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import Any

import msgspec

from leverdoor.entry.links.tcp_keepalive import USER_TIMEOUT_MS

__all__ = ["LINK_CUTS", "LinkCutKind", "LinkCuts", "install"]

LINK_CUTS = "LEVERDOOR_LINK_CUTS"
"""The environment variable with the path of the file."""
POLL_S = 0.02
"""Interval at which a changed file is noticed, in seconds."""


class LinkCutKind(StrEnum):
    """What happens to connections whose link is cut."""

    HANG = "hang"
    """Nothing passes, and nothing is answered, also to new ones."""
    RESET = "reset"
    """Open ones are reset and new ones refused."""
    REFUSE = "refuse"
    """Open ones live on and new ones are refused."""


class LinkCuts(msgspec.Struct, frozen=True):
    """The content of the file."""

    kind: LinkCutKind = LinkCutKind.HANG
    addresses: list[str] = []
    """Addresses whose links are cut, as `ip:port`."""


class _Links:
    """The connections of this process, and which are cut now."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._read_at = 0
        self.cuts = LinkCuts()
        self.open: set[_Link] = set()

    def refresh(self) -> None:
        """Read the file if it changed, and apply it to the open connections."""
        try:
            changed_at = self._path.stat().st_mtime_ns
        except FileNotFoundError:
            return
        if changed_at == self._read_at:
            return
        self._read_at = changed_at
        self.cuts = msgspec.json.decode(self._path.read_bytes(), type=LinkCuts)
        for link in list(self.open):
            link.apply()

    async def poll(self) -> None:
        """Refresh at regular intervals, for connections on which nothing happens."""
        while True:
            self.refresh()
            await asyncio.sleep(POLL_S)

    def kind(self, address: str) -> LinkCutKind | None:
        """Return how an address is cut; None if it is not."""
        self.refresh()
        return self.cuts.kind if address in self.cuts.addresses else None


class _Link(asyncio.Protocol):
    """Stands between the transport of a connection and the product's protocol."""

    def __init__(self, links: _Links, address: str, inner: asyncio.Protocol) -> None:
        self.links = links
        self.address = address
        self.inner = inner
        self.transport: asyncio.Transport | None = None
        self.facade: _LinkTransport | None = None
        self._held: list[bytes] = []
        """Received while the link hangs."""
        self._unsent: list[bytes] = []
        """Written while the link hangs."""
        self._timeout: asyncio.TimerHandle | None = None

    @property
    def hangs(self) -> bool:
        return self.links.kind(self.address) is LinkCutKind.HANG

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.facade = _LinkTransport(self)
        self.links.open.add(self)
        self.inner.connection_made(self.facade)

    def data_received(self, data: bytes) -> None:
        if self.hangs:
            self._held.append(data)
        else:
            self.inner.data_received(data)

    def eof_received(self) -> bool | None:
        if self.hangs:
            return True
        return self.inner.eof_received()

    def pause_writing(self) -> None:
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        self.inner.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        self.links.open.discard(self)
        if self._timeout is not None:
            self._timeout.cancel()
        self.inner.connection_lost(exc)

    def write(self, data: bytes) -> None:
        assert self.transport is not None
        if not self.hangs:
            self.transport.write(data)
            return
        self._unsent.append(bytes(data))
        if self._timeout is None:
            loop = asyncio.get_running_loop()
            self._timeout = loop.call_later(USER_TIMEOUT_MS / 1000, self._time_out)

    def _time_out(self) -> None:
        assert self.transport is not None
        self.links.open.discard(self)
        inner, self.inner = self.inner, asyncio.Protocol()
        self.transport.abort()
        inner.connection_lost(TimeoutError(110, "Connection timed out"))

    def apply(self) -> None:
        """Apply a change of the file."""
        assert self.transport is not None
        kind = self.links.kind(self.address)
        if kind is LinkCutKind.RESET:
            self.links.open.discard(self)
            inner, self.inner = self.inner, asyncio.Protocol()
            self.transport.abort()
            inner.connection_lost(ConnectionResetError(104, "Connection reset"))
        elif kind is None:
            self._release()

    def _release(self) -> None:
        """Pass on what the link held."""
        assert self.transport is not None
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None
        unsent, self._unsent = self._unsent, []
        held, self._held = self._held, []
        for data in unsent:
            self.transport.write(data)
        for data in held:
            self.inner.data_received(data)


class _LinkTransport(asyncio.Transport):
    """The transport that the product's protocol gets."""

    def __init__(self, link: _Link) -> None:
        super().__init__()
        self._link = link
        assert link.transport is not None
        self._transport = link.transport

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._transport.get_extra_info(name, default)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self._link.write(bytes(data))

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        self._transport.set_write_buffer_limits(high, low)

    def write_eof(self) -> None:
        self._transport.write_eof()

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def pause_reading(self) -> None:
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        self._transport.resume_reading()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        assert isinstance(protocol, asyncio.Protocol)
        self._link.inner = protocol

    def close(self) -> None:
        self._transport.close()

    def abort(self) -> None:
        self._transport.abort()


def install() -> None:
    """Let the connections that this process opens from now on be cut."""
    links = _Links(Path(os.environ[LINK_CUTS]))
    original = asyncio.BaseEventLoop.create_connection
    polls: set[asyncio.Task[None]] = set()

    async def create_connection(
        loop: asyncio.BaseEventLoop,
        factory: Callable[[], asyncio.Protocol],
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> Any:
        if not polls:
            polls.add(loop.create_task(links.poll()))
        address = f"{host}:{port}"
        kind = links.kind(address)
        if kind is LinkCutKind.HANG:
            await asyncio.Event().wait()
        if kind is not None:
            raise ConnectionRefusedError(111, "Connection refused")
        transport, link = await original(
            loop, lambda: _Link(links, address, factory()), host, port, **options
        )
        assert isinstance(link, _Link)
        return link.facade, link.inner

    vars_of_loop: Any = asyncio.BaseEventLoop
    vars_of_loop.create_connection = create_connection
