# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The platform's VM list as a process, with a lag to order.

State: the list shown now and those that readers see later, lost when the process ends.
"""

import asyncio

import msgspec
from aiohttp import web

from leverdoor.codec import serialize_json
from leverdoor.storage.vm_list_client import Vm

__all__ = ["VmListStandin"]


class VmListOrder(msgspec.Struct):
    """A new list, which readers see after `lag_s` seconds."""

    vms: list[Vm]
    lag_s: float = 0.0


class VmListStandin:
    """Serves a list that shows the past."""

    def __init__(self, vms: list[Vm]) -> None:
        """Create it with a first list."""
        self._shown = vms
        self._coming: list[tuple[float, list[Vm]]] = []

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_get("/vms", self._get)
        app.router.add_post("/standin/vms", self._order)
        return app

    async def _get(self, request: web.Request) -> web.StreamResponse:
        now = asyncio.get_running_loop().time()
        while self._coming and self._coming[0][0] <= now:
            self._shown = self._coming.pop(0)[1]
        return web.Response(
            body=serialize_json(self._shown), content_type="application/json"
        )

    async def _order(self, request: web.Request) -> web.StreamResponse:
        order = msgspec.json.decode(await request.read(), type=VmListOrder)
        now = asyncio.get_running_loop().time()
        self._coming.append((now + order.lag_s, order.vms))
        return web.Response(text="ok\n")
