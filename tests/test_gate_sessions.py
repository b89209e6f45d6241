# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What an agent sends to gates that are slow, stopped, or lose messages."""

from leverdoor.agent.gate_sessions import RESEND_S, GateSessions
from leverdoor.agent.link import AgentLink, FromAgent, GateReport
from leverdoor.membership.ownership import Ack
from leverdoor.membership.peers import GateState
from leverdoor.storage.state import Delta
from leverdoor.storage.store import Event

MAX_VALUE_BYTES = 1_048_576
GATE = b"gate"


class FakeLink(AgentLink):
    """Records what is queued for gates, and delivers nothing."""

    def __init__(self) -> None:
        self.sent: list[Delta] = []

    async def send(self, peer: bytes, message: FromAgent) -> None:
        assert isinstance(message, Delta)
        self.sent.append(message)


def report(revision: int) -> GateReport:
    return GateReport(
        gate="10.0.0.1:80",
        relay="10.0.0.1:81",
        incarnation=1,
        revision=revision,
        ack=Ack(0, []),
        state=GateState.SERVING,
        loads={},
        caps={},
        held=[],
    )


def delta(revision: int, size: int = MAX_VALUE_BYTES) -> Delta:
    return Delta(revision - 1, revision, False, [Event(revision, "k", bytes(size))])


async def test_a_gate_that_does_not_read_does_not_fill_the_memory() -> None:
    """The link queued a thousand messages for it, each perhaps of a large value."""
    link = FakeLink()
    sessions = GateSessions(link)
    sessions.receive(GATE, report(0), 0.0)
    for revision in range(1, 301):
        await sessions.push_change(delta(revision), 0.01 * revision)
    assert sum(d.value_bytes for d in link.sent) <= 2 * MAX_VALUE_BYTES


async def test_reports_from_before_a_delta_do_not_send_it_again() -> None:
    """An agent that was paused reads all reports that were made meanwhile."""
    link = FakeLink()
    sessions = GateSessions(link)
    for _ in range(1_000):
        sessions.receive(GATE, report(0), 0.0)
        if not sessions.awaits_confirmation(GATE):
            await sessions.send_missing(GATE, delta(1), 0.0)
    assert len(link.sent) == 1


async def test_small_changes_do_not_wait_for_the_next_report() -> None:
    link = FakeLink()
    sessions = GateSessions(link)
    sessions.receive(GATE, report(0), 0.0)
    for revision in range(1, 101):
        await sessions.push_change(delta(revision, 300), 0.0)
    assert len(link.sent) == 100


async def test_a_gate_that_confirms_gets_the_next_change() -> None:
    link = FakeLink()
    sessions = GateSessions(link)
    for revision in range(1, 11):
        sessions.receive(GATE, report(revision - 1), 0.1 * revision)
        assert not sessions.awaits_confirmation(GATE)
        await sessions.push_change(delta(revision), 0.1 * revision)
    assert [d.revision for d in link.sent] == list(range(1, 11))


async def test_a_lost_delta_is_sent_again() -> None:
    link = FakeLink()
    sessions = GateSessions(link)
    sessions.receive(GATE, report(0), 0.0)
    await sessions.push_change(delta(1), 0.0)
    sessions.receive(GATE, report(0), RESEND_S / 2)
    assert sessions.awaits_confirmation(GATE)
    sessions.receive(GATE, report(0), RESEND_S * 1.1)
    assert not sessions.awaits_confirmation(GATE)


async def test_a_gate_that_missed_a_change_gets_no_later_one_by_itself() -> None:
    """It would leave a gap, and delay the delta with everything by `RESEND_S`."""
    link = FakeLink()
    sessions = GateSessions(link)
    sessions.receive(GATE, report(0), 0.0)
    for revision in (1, 2, 3):
        await sessions.push_change(delta(revision), 0.0)
    sessions.receive(GATE, report(2), 0.1)
    await sessions.push_change(delta(4), 0.1)
    assert [d.revision for d in link.sent] == [1, 2]
    assert not sessions.awaits_confirmation(GATE)
    await sessions.send_missing(GATE, Delta(2, 4, False, []), 0.1)
    sessions.receive(GATE, report(4), 0.2)
    await sessions.push_change(delta(5), 0.2)
    assert [d.revision for d in link.sent] == [1, 2, 4, 5]
