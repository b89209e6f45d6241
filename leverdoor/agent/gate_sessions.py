# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The gate processes connected to one agent: their last report, and what they get.

Owns the last report and what is new for the gate since the last hints; all of it starts
empty with the process and comes again within a second. Relies on the link: a gate that
is away misses messages and gets what it lacks after its next report.
"""

from collections.abc import Iterable

from leverdoor.agent.link import AgentLink, GateReport, Hints
from leverdoor.membership.peers import AgentHeartbeat
from leverdoor.model.probe import Probe

__all__ = ["GateSessions"]

GATE_SILENCE_S = 1.0
"""Silence on the link after which a gate's report is not used, in seconds.

Ten of its reports. A greater one names a dead gate to callers for longer; a smaller one
drops a gate whose process is paused for a moment.
"""
SESSION_SILENCE_S = 10 * GATE_SILENCE_S
"""Silence after which nothing more is sent to a connection, in seconds."""


class GateSessions:
    """The connections of gates, of which the last to report is this VM's gate."""

    def __init__(self, link: AgentLink) -> None:
        """Create it around the agent's end of the link."""
        self.report: GateReport | None = None
        self._reported_at = 0.0
        self._last_seen: dict[bytes, float] = {}
        self._link = link
        self._heartbeats: dict[str, AgentHeartbeat] = {}
        self._probes: dict[str, Probe] = {}

    def receive(self, peer: bytes, report: GateReport, now: float) -> bool:
        """Take a report; return whether its connection is new."""
        is_new = peer not in self._last_seen
        self.report = report
        self._reported_at = now
        self._last_seen[peer] = now
        return is_new

    def fresh_report(self, now: float) -> GateReport | None:
        """Return the last report, None if the gate has been silent for too long."""
        if self.report is None or now - self._reported_at > GATE_SILENCE_S:
            return None
        return self.report

    def connections(self) -> list[bytes]:
        """Return the connections of gates."""
        return list(self._last_seen)

    def add_heartbeats(self, heartbeats: Iterable[AgentHeartbeat]) -> None:
        """Keep newer heartbeats for the next hints, the latest of each VM."""
        for heartbeat in heartbeats:
            self._heartbeats[heartbeat.vm] = heartbeat

    def set_probes(self, probes: dict[str, Probe]) -> None:
        """Keep the targets' reports for the next hints."""
        self._probes = probes

    async def send_hints(
        self, leaving_vms: Iterable[str], incarnation_floor: int, now: float
    ) -> None:
        """Send what is new since the last hints to each gate that reports."""
        hints = Hints(
            heartbeats=list(self._heartbeats.values()),
            leaving_vms=sorted(leaving_vms),
            probes=self._probes,
            incarnation_floor=incarnation_floor,
        )
        self._heartbeats = {}
        self._probes = {}
        for peer, last_seen in list(self._last_seen.items()):
            if now - last_seen > SESSION_SILENCE_S:
                del self._last_seen[peer]
            else:
                await self._link.send(peer, hints)
