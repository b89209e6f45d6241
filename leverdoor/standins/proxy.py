# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A loopback proxy that harms the connections which go through it.

State: the fault set now, the open connections and the tasks that carry them; `close`
ends them all. Relies on the loop only.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum

from leverdoor.settings import Address

__all__ = ["LinkFault", "LoopbackProxy"]

HOST = "127.0.0.1"
CHUNK = 64 * 1024
"""Bytes passed on at once."""
DELAY_S = 0.3
"""Delay of a link that is made slow, in seconds."""


class LinkFault(StrEnum):
    """What happens to the bytes of a link."""

    NONE = "none"
    DELAY = "delay"
    """Every piece comes a little later."""
    RESET = "reset"
    """Open connections are reset, and so are new ones."""
    HOLD_REQUESTS = "hold-requests"
    """Nothing goes on from the caller's side until the fault ends."""
    HOLD_ANSWERS = "hold-answers"
    """Nothing goes back to the caller until the fault ends."""
    SILENT = "silent"
    """Nothing goes either way until the fault ends."""


HOLDING = {
    True: (LinkFault.HOLD_REQUESTS, LinkFault.SILENT),
    False: (LinkFault.HOLD_ANSWERS, LinkFault.SILENT),
}
"""The faults that hold back what a caller sends, and what it is sent."""


class LoopbackProxy:
    """Passes TCP connections on to one address, harmed as ordered."""

    def __init__(self, onward: Callable[[], str]) -> None:
        """Create it; `start` listens.

        Args:
          onward: returns the `ip:port` behind it at the time.
        """
        self._onward = onward
        self.refused_at: list[float] = []
        """Loop times at which the address behind it took no connection, in seconds."""
        self._fault = LinkFault.NONE
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        """Ends of connections that carry nothing any more."""
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, listen: Address | None = None) -> str:
        """Listen, on a free port if no address is given; returns the address."""
        at = listen or Address(HOST, 0)
        self._server = await asyncio.start_server(self._accept, at.host, at.port)
        port = self._server.sockets[0].getsockname()[1]
        return f"{at.host}:{port}"

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._abort_all()

    def set_fault(self, fault: LinkFault) -> None:
        """Let a fault begin, or all end."""
        self._fault = fault
        self._changed.set()
        self._changed = asyncio.Event()
        if fault is LinkFault.RESET:
            self._abort_all()

    def silence_open(self) -> None:
        """Let the connections open now carry nothing any more; new ones do."""
        self._silenced |= self._open

    def _abort_all(self) -> None:
        for writer in list(self._open):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._fault is LinkFault.RESET:
            writer.transport.abort()
            return
        task = asyncio.ensure_future(self._carry(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry one connection until either side ends it."""
        self._open.add(writer)
        onward: asyncio.StreamWriter | None = None
        try:
            await self._free(True)
            host, _, port = self._onward().rpartition(":")
            back, onward = await asyncio.open_connection(host, int(port))
            self._open.add(onward)
            ways = [
                asyncio.ensure_future(self._pump(reader, onward, True)),
                asyncio.ensure_future(self._pump(back, writer, False)),
            ]
            try:
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for way in ways:
                    way.cancel()
                await asyncio.gather(*ways, return_exceptions=True)
        except OSError:
            if onward is None:
                self.refused_at.append(asyncio.get_running_loop().time())
            writer.transport.abort()
        finally:
            for end in (writer, onward):
                if end is not None:
                    self._open.discard(end)
                    self._silenced.discard(end)
                    end.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bool
    ) -> None:
        """Pass on what one side sends until it ends."""
        try:
            while data := await reader.read(CHUNK):
                if self._fault is LinkFault.DELAY:
                    await asyncio.sleep(DELAY_S)
                await self._free(request)
                if writer in self._silenced:
                    continue
                writer.write(data)
                await writer.drain()
            await self._free(request)
        except OSError:
            writer.transport.abort()

    async def _free(self, request: bool) -> None:
        """Wait until one direction is not held back."""
        while self._fault in HOLDING[request]:
            await self._changed.wait()
