# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A link that can be cut in either direction: forwards TCP between two addresses."""

import asyncio
import contextlib

from leverdoor.settings import Address

__all__ = ["Forwarder"]

CHUNK = 64 * 1024
POLL_S = 0.02


class Forwarder:
    """Forwards connections; a cut direction holds its bytes back."""

    def __init__(self, to: Address) -> None:
        """Create a link to an address; it is not open yet."""
        self.cut_there = False
        self.cut_back = False
        self._to = to
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, listen: Address) -> None:
        """Listen for connections to forward."""
        self._server = await asyncio.start_server(self._serve, listen.host, listen.port)

    async def close(self) -> None:
        """Stop, and end what is being forwarded."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far = await asyncio.open_connection(self._to.host, self._to.port)
        except OSError:
            writer.close()
            return
        there = asyncio.create_task(self._pass(reader, far[1], True))
        back = asyncio.create_task(self._pass(far[0], writer, False))
        self._tasks |= {there, back}
        there.add_done_callback(self._tasks.discard)
        back.add_done_callback(self._tasks.discard)

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, there: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                while self.cut_there if there else self.cut_back:
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
        writer.close()
