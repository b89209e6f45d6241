# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The link between a VM's gate and its agent: typed messages over ZeroMQ.

The gate sends a `GateReport` ten times a second; the agent answers with deltas of the
configuration and with `Hints`. Owns the socket of either end. Relies on nothing: a
message that can't be sent is dropped, and the next report or hint replaces it.
"""

from typing import TypeAlias

import msgspec
import zmq
import zmq.asyncio

from leverdoor.codec import pack, unpack
from leverdoor.membership.ownership import Ack
from leverdoor.membership.peers import AgentHeartbeat, GateState, Load
from leverdoor.model.probe import Probe
from leverdoor.settings import Address
from leverdoor.storage.state import Delta

__all__ = ["AgentLink", "FromAgent", "GateLink", "GateReport", "Hints"]

HIGH_WATER = 1_000
"""Messages queued on the link before new ones are dropped.

100 s of reports. Older ones are worthless, so a longer queue gains nothing.
"""


class GateReport(msgspec.Struct, frozen=True, tag=True):
    """State of a gate, ten times a second.

    `loads` is its load by service, `caps` its free units by row of a shift cap, `held`
    its rows of slots, `draining` the requests in flight by target that is drained.
    """

    gate: str
    relay: str
    incarnation: int
    revision: int
    ack: Ack
    state: GateState
    loads: dict[str, Load]
    caps: dict[str, int]
    held: list[str]
    draining: dict[str, int] = {}


class Hints(msgspec.Struct, frozen=True, tag=True):
    """What a gate uses beside the configuration; any of it may be late or missing.

    `heartbeats` are those new since the last hints, with the loads of other gates;
    `probes` the targets' own reports by address. `incarnation_floor` is the latest
    incarnation that the ownership table has at the gate's address, if it is later than
    the gate's own.
    """

    heartbeats: list[AgentHeartbeat]
    leaving_vms: list[str]
    probes: dict[str, Probe]
    incarnation_floor: int = 0


FromAgent: TypeAlias = Delta | Hints


class GateLink:
    """The gate's end; it reconnects by itself when the agent comes back."""

    def __init__(self, agent: Address) -> None:
        """Connect to the agent, which need not be there yet."""
        self._context = zmq.asyncio.Context()
        self._socket = self._context.socket(zmq.DEALER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.SNDHWM, HIGH_WATER)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, 500)
        self._socket.connect(f"tcp://{agent}")

    async def send(self, report: GateReport) -> None:
        """Send a report; it is dropped when the agent is away."""
        try:
            await self._socket.send(pack(report), flags=zmq.NOBLOCK)
        except zmq.Again:
            return

    async def receive(self) -> FromAgent:
        """Wait for the next message of the agent."""
        return unpack(await self._socket.recv(), FromAgent)  # type: ignore[arg-type]

    def close(self) -> None:
        """Close the link."""
        self._socket.close(0)
        self._context.term()


class AgentLink:
    """The agent's end, which serves the gates of its VM."""

    def __init__(self, listen: Address) -> None:
        """Bind the agent's link address."""
        self._context = zmq.asyncio.Context()
        self._socket = self._context.socket(zmq.ROUTER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.SNDHWM, HIGH_WATER)
        self._socket.bind(f"tcp://{listen}")

    async def send(self, peer: bytes, message: FromAgent) -> None:
        """Send a message to one gate; it is dropped when the gate is away."""
        try:
            await self._socket.send_multipart([peer, pack(message)], flags=zmq.NOBLOCK)
        except zmq.Again:
            return

    async def receive(self) -> tuple[bytes, GateReport]:
        """Wait for the next report and who sent it."""
        peer, data = await self._socket.recv_multipart()
        return peer, unpack(data, GateReport)

    def close(self) -> None:
        """Close the link."""
        self._socket.close(0)
        self._context.term()
