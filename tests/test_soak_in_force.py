# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Cuts of a soak, and its check that changes are in force in time."""

from pathlib import Path

import msgspec
import pytest

from leverdoor.entry.exchange.messages import RevisionAnnouncement
from leverdoor.membership.gossip import GossipSocket
from leverdoor.standins.soak.cuts import CutKind, draw_cuts
from leverdoor.standins.soak.harmed import CUTS, HarmedNetwork, LostWays
from leverdoor.standins.soak.in_force import IN_FORCE_S, IN_TOUCH_S, late_changes
from leverdoor.standins.soak.record import Attempt, Record
from leverdoor.standins.soak.site import mark_path

CONFIRMED_AT = 100.0


def refused(after_s: float, version: int = 3) -> Attempt:
    """A 404 of the entry for a version's route, so long after its confirmation."""
    sent_at = CONFIRMED_AT + after_s
    return Attempt(
        request_id="r",
        entry="n",
        path=mark_path(version),
        once=False,
        digest="",
        deadline_ms=1_000,
        sent_at=sent_at,
        ended_at=sent_at + 0.1,
        status=404,
        code="NO_ROUTE",
    )


def record(*attempts: Attempt) -> Record:
    changes = [(3, CONFIRMED_AT), (4, CONFIRMED_AT + 10.0)]
    return Record(attempts=list(attempts), changes=changes)


def test_a_route_that_is_missing_beyond_the_bound_is_found() -> None:
    found = list(late_changes(record(refused(IN_FORCE_S + 0.3))))
    assert found == ["CONFIG n: no /mark-3/ 0.30 s beyond the bound"]


def test_a_route_may_be_missing_before_the_bound_and_once_it_is_replaced() -> None:
    assert not list(late_changes(record(refused(IN_FORCE_S - 0.1), refused(11.0))))


def test_an_entry_that_was_disturbed_lately_may_lack_a_route() -> None:
    seen = record(refused(IN_FORCE_S + 0.3))
    seen.note_disturbance("n", CONFIRMED_AT - 9.0, CONFIRMED_AT - IN_TOUCH_S)
    assert list(late_changes(seen)), "long ago"
    seen.note_disturbance("m", CONFIRMED_AT, CONFIRMED_AT + 1.0)
    assert list(late_changes(seen)), "another entry"
    seen.note_disturbance("n", CONFIRMED_AT, CONFIRMED_AT + 1.0)
    assert not list(late_changes(seen))


def test_all_entries_may_lack_a_route_while_the_store_is_away() -> None:
    seen = record(refused(IN_FORCE_S + 0.3))
    seen.store_disturbed.append((CONFIRMED_AT, CONFIRMED_AT + 1.0))
    assert not list(late_changes(seen))


def test_cuts_are_drawn_from_the_seed_alone() -> None:
    assert draw_cuts(7, 20.0, 30) == draw_cuts(7, 20.0, 30)
    assert draw_cuts(7, 20.0, 30) != draw_cuts(8, 20.0, 30)
    cuts = [c for seed in range(20) for c in draw_cuts(seed, 20.0, 10)]
    assert {c.kind for c in cuts} == set(CutKind)
    assert all(0.0 <= c.at_s <= 20.0 for c in cuts)


def test_datagrams_to_a_host_that_is_cut_off_are_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One direction only; the file is read again when it changes."""
    sent: list[str] = []
    monkeypatch.setattr(
        GossipSocket, "send_all", lambda _, __, to: sent.extend(list(to))
    )
    monkeypatch.setenv(CUTS, str(tmp_path / "n.cuts"))
    network = HarmedNetwork()
    network._socket = GossipSocket(RevisionAnnouncement, lambda _: None)
    network.send_all(RevisionAnnouncement(1, "p"), ["127.0.0.2:1", "127.0.0.3:1"])
    lost = LostWays(unreached=["127.0.0.2"], unanswered=["127.0.0.3"])
    (tmp_path / "n.cuts").write_bytes(msgspec.json.encode(lost))
    network.send_all(RevisionAnnouncement(1, "p"), ["127.0.0.2:1", "127.0.0.3:1"])
    assert sent == ["127.0.0.2:1", "127.0.0.3:1", "127.0.0.3:1"]
