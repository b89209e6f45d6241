# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The gate processes connected to one agent: their last report and their next hints.

Owns the last report and the changes since the last hints. Both are lost with the
process; the gate reports again within a second of its start. Relies on the link: a
disconnected gate loses messages and receives the missing changes after its next report.
"""

from collections.abc import Iterable

from leverdoor.agent.link import AgentLink, GateReport, Hints
from leverdoor.membership.peers import AgentHeartbeat
from leverdoor.model.probe import Probe

__all__ = ["GateSessions"]

GATE_SILENCE_S = 1.0
"""Silence on the link after which a gate's report is ignored, in seconds.

Ten report intervals. With a greater value, callers are sent to a dead gate for longer;
a smaller one ignores a gate whose process pauses briefly.
"""
SESSION_SILENCE_S = 10 * GATE_SILENCE_S
"""Silence after which the agent forgets a connection, in seconds."""


class GateSessions:
    """The connections of this VM's gates and the last report on any of them."""

    def __init__(self, link: AgentLink) -> None:
        """Create sessions on the agent's end of the link."""
        self.report: GateReport | None = None
        """The last report, of any age."""
        self._reported_at = 0.0
        self._last_seen: dict[bytes, float] = {}
        self._link = link
        self._queued_heartbeats: dict[str, AgentHeartbeat] = {}
        self._queued_probes: dict[str, Probe] = {}

    def receive(self, peer: bytes, report: GateReport, now: float) -> bool:
        """Record a report; return whether its connection is new."""
        is_new = peer not in self._last_seen
        self.report = report
        self._reported_at = now
        self._last_seen[peer] = now
        return is_new

    def fresh_report(self, now: float) -> GateReport | None:
        """Return the last report; None after `GATE_SILENCE_S` without a report."""
        if self.report is None or now - self._reported_at > GATE_SILENCE_S:
            return None
        return self.report

    def connections(self) -> list[bytes]:
        """Return the connection ids of all gates."""
        return list(self._last_seen)

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
        for peer, last_seen in list(self._last_seen.items()):
            if now - last_seen > SESSION_SILENCE_S:
                del self._last_seen[peer]
            else:
                await self._link.send(peer, hints)
