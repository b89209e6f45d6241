# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The gate processes connected to one agent: their last report and what they get next.

Owns the last report, the changes since the last hints, and which deltas the gates have
not confirmed. All are lost with the process; the gate reports again within a second of
its start. Relies on the link: a disconnected gate loses messages and receives the
missing changes after its next report.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from leverdoor.agent.link import AgentLink, GateReport, Hints
from leverdoor.membership.peers import AgentHeartbeat
from leverdoor.model.position import Position
from leverdoor.model.probe import Probe
from leverdoor.storage.state import Delta

__all__ = ["GateSessions"]

GATE_SILENCE_S = 1.0
"""Silence on the link after which a gate's report is ignored, in seconds.

Ten report intervals. With a greater value, callers are sent to a dead gate for longer;
a smaller one ignores a gate whose process pauses briefly.
"""
SESSION_SILENCE_S = 10 * GATE_SILENCE_S
"""Silence after which the agent forgets a connection, in seconds."""
MAX_UNCONFIRMED_BYTES = 2 * 1024 * 1024
"""Bytes of values on their way to a gate that has not reported them as in force.

Twice the store's largest value. With a greater value, a gate that stopped reading
exhausts the memory of its VM. With a smaller one, changes that follow each other wait
for the gate's next report.
"""
RESEND_S = 1.0
"""Time after which a delta that a gate does not report counts as lost, in seconds.

Ten report intervals. With a smaller value, a gate that is slow to apply a delta gets it
again; with a greater one, a gate that lost it keeps an old configuration for longer.
"""


class _SentDelta(NamedTuple):
    position: Position
    value_bytes: int
    sent_at: float


class _GateSession:
    """One connection: when its gate reported last, and the deltas under way to it."""

    def __init__(self) -> None:
        self.last_seen = 0.0
        self.missed_change = False
        """Whether a change was left out, so that later ones leave a gap."""
        self._sent: deque[_SentDelta] = deque()

    def confirm(self, position: Position, now: float) -> None:
        """Record what the gate has in force; what is overdue counts as lost."""
        self.last_seen = now
        while self._sent and self._sent[0].position <= position:
            self._sent.popleft()
        if self._sent and now - self._sent[-1].sent_at > RESEND_S:
            self._sent.clear()

    @property
    def awaits_confirmation(self) -> bool:
        return bool(self._sent)

    def has_room(self, delta: Delta) -> bool:
        sent_bytes = sum(s.value_bytes for s in self._sent)
        return not self._sent or sent_bytes + delta.value_bytes <= MAX_UNCONFIRMED_BYTES

    def record(self, delta: Delta, now: float) -> None:
        self._sent.append(_SentDelta(delta.position, delta.value_bytes, now))


class GateSessions:
    """The connections of this VM's gates and the last report on any of them."""

    def __init__(self, link: AgentLink) -> None:
        """Create sessions on the agent's end of the link."""
        self.report: GateReport | None = None
        """The last report, of any age."""
        self._reported_at = 0.0
        self._sessions: dict[bytes, _GateSession] = {}
        self._link = link
        self._queued_heartbeats: dict[str, AgentHeartbeat] = {}
        self._queued_probes: dict[str, Probe] = {}

    def receive(self, peer: bytes, report: GateReport, now: float) -> bool:
        """Record a report; return whether its connection is new."""
        is_new = peer not in self._sessions
        self.report = report
        self._reported_at = now
        self._sessions.setdefault(peer, _GateSession()).confirm(report.position, now)
        return is_new

    def fresh_report(self, now: float) -> GateReport | None:
        """Return the last report; None after `GATE_SILENCE_S` without a report."""
        if self.report is None or now - self._reported_at > GATE_SILENCE_S:
            return None
        return self.report

    def awaits_confirmation(self, peer: bytes) -> bool:
        """Return whether deltas are under way to a gate."""
        return self._sessions[peer].awaits_confirmation

    async def send_missing(self, peer: bytes, delta: Delta, now: float) -> None:
        """Send a gate all changes after the position that it reported."""
        session = self._sessions[peer]
        session.missed_change = False
        session.record(delta, now)
        await self._link.send(peer, delta)

    async def push_change(self, delta: Delta, now: float) -> None:
        """Send a change to all gates.

        It is left out for a gate to which too much is under way. The later reports of
        that gate lead to a delta with everything that it lacks.
        """
        for peer, session in list(self._sessions.items()):
            if session.missed_change or not session.has_room(delta):
                session.missed_change = True
                continue
            session.record(delta, now)
            await self._link.send(peer, delta)

    def add_heartbeats(self, heartbeats: Iterable[AgentHeartbeat]) -> None:
        """Queue the latest heartbeat of each VM for the next hints."""
        for heartbeat in heartbeats:
            self._queued_heartbeats[heartbeat.vm] = heartbeat

    def set_probes(self, probes: dict[str, Probe]) -> None:
        """Queue the results of target probes for the next hints."""
        self._queued_probes = probes

    async def send_hints(
        self, leaving_vms: Iterable[str], incarnation_floor: int, now: float
    ) -> None:
        """Send the changes since the last hints to each gate that still reports."""
        hints = Hints(
            heartbeats=list(self._queued_heartbeats.values()),
            leaving_vms=sorted(leaving_vms),
            probes=self._queued_probes,
            incarnation_floor=incarnation_floor,
        )
        self._queued_heartbeats = {}
        self._queued_probes = {}
        for peer, session in list(self._sessions.items()):
            if now - session.last_seen > SESSION_SILENCE_S:
                del self._sessions[peer]
            else:
                await self._link.send(peer, hints)
