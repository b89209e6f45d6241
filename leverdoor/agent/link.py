# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The link between a VM's gate and its agent: typed messages over ZeroMQ.

The gate sends a `GateReport` ten times per second; the agent responds with deltas of
the configuration and with `Hints`. Each end owns its socket and its queue, which are
lost with the process. Does not rely on delivery: a message that cannot be sent is
dropped, and the next report or hint replaces it.
"""

from typing import TypeAlias

import msgspec
import zmq
import zmq.asyncio

from leverdoor.codec import pack, unpack
from leverdoor.membership.ownership import Ack
from leverdoor.membership.peers import AgentHeartbeat, GateState, Load
from leverdoor.model.position import UNKNOWN_ERA, Position
from leverdoor.model.probe import Probe
from leverdoor.settings import Address
from leverdoor.storage.state import Delta

__all__ = ["AgentLink", "FromAgent", "GateLink", "GateReport", "Hints"]

MAX_QUEUED_MESSAGES = 1_000
"""Messages that the link queues before it drops new ones.

Holds the reports of 100 s. Older reports are useless, so a longer queue has no benefit.
"""


class GateReport(msgspec.Struct, frozen=True, tag=True):
    """State of a gate, sent ten times per second.

    `gate` is the gate's address, `relay` its address for requests of other gates,
    `incarnation` its start time in microseconds since the epoch unless it was raised
    (`Hints`), and `revision` and `era` those of the configuration in force. `loads` is
    the load by service, `caps` the free units by shift cap row, `held` the slot rows of
    which the gate holds units, and `draining` the requests in flight by drained target.
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
    era: int = UNKNOWN_ERA

    @property
    def position(self) -> Position:
        """Position of the configuration in force."""
        return Position(self.era, self.revision)


class Hints(msgspec.Struct, frozen=True, tag=True):
    """State that an agent sends to its gate; any of it may be late or missing.

    `heartbeats` are new since the last hints and contain the loads of other gates.
    `probes` are the results of probes by target address. `incarnation_floor` is the
    latest incarnation that the ownership table has for the gate if it is later than the
    gate's own, else 0. A gate without rows raises its own above this floor.
    """

    heartbeats: list[AgentHeartbeat]
    leaving_vms: list[str]
    probes: dict[str, Probe]
    incarnation_floor: int = 0


FromAgent: TypeAlias = Delta | Hints


class GateLink:
    """The gate's end of the link; reconnects automatically."""

    def __init__(self, agent: Address) -> None:
        """Connect to the agent, which need not be running yet."""
        self._context = zmq.asyncio.Context()
        self._socket = self._context.socket(zmq.DEALER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, 500)
        self._socket.connect(f"tcp://{agent}")

    async def send(self, report: GateReport) -> None:
        """Send a report, or drop it if the queue to the agent is full."""
        try:
            await self._socket.send(pack(report), flags=zmq.NOBLOCK)
        except zmq.Again:
            return

    async def receive(self) -> FromAgent:
        """Receive the next message of the agent."""
        return unpack(await self._socket.recv(), FromAgent)  # type: ignore[arg-type]

    def close(self) -> None:
        """Close the link."""
        self._socket.close(0)
        self._context.term()


class AgentLink:
    """The agent's end of the link; serves the gates of its VM."""

    def __init__(self, listen: Address) -> None:
        """Bind the agent's link address."""
        self._context = zmq.asyncio.Context()
        self._socket = self._context.socket(zmq.ROUTER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        self._socket.bind(f"tcp://{listen}")

    async def send(self, peer: bytes, message: FromAgent) -> None:
        """Send a message to one gate, or drop it if the gate's queue is full."""
        try:
            await self._socket.send_multipart([peer, pack(message)], flags=zmq.NOBLOCK)
        except zmq.Again:
            return

    async def receive(self) -> tuple[bytes, GateReport]:
        """Receive the next report and the connection id of its sender."""
        peer, data = await self._socket.recv_multipart()
        return peer, unpack(data, GateReport)

    def close(self) -> None:
        """Close the link."""
        self._socket.close(0)
        self._context.term()
