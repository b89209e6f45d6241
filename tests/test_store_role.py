# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""When an entry follows or queries the store, and how long its watch waits."""

from random import Random

import pytest

from leverdoor.entry.configuration.confirmation import Confirmation, ReportedAnswer
from leverdoor.entry.exchange.entry_reports import REPORT_MAX_AGE_S, EntryReports
from leverdoor.entry.exchange.messages import Digest, DigestScope, EntryHeartbeat
from leverdoor.entry.membership.member import SERVING, DigestRow, Member, member_id
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import HeartbeatObservation
from leverdoor.entry.membership.roles import Roles
from leverdoor.entry.settings import EntrySettings
from leverdoor.entry.store_role import (
    CONFIRM_INTERVAL_S,
    MAX_ANSWER_AGE_S,
    MAX_WATCH_WAIT_S,
    MIN_RETRY_PAUSE_S,
    MIN_WATCH_WAIT_S,
    TEMPORARY_FOLLOW_S,
    StoreRole,
)
from leverdoor.model.position import position_without_era as at
from leverdoor.settings import Address
from leverdoor.storage.store_availability import MIN_FRACTION_OF_MEAN, RETRY_MEAN_S

REGIONS = ("a", "b", "c")
ADDRESS = Address("127.0.0.1", 1)
NOW = 1_000.0


def member(name: str, link_mbps: int = 20) -> Member:
    """Return a member; `a1-0` is an entry of failure domain a1 in region a."""
    domain = name.split("-")[0]
    return Member(name, domain[0], domain, "f", "g", "p", 1, link_mbps)


def site(entries_per_region: int = 4) -> list[Member]:
    """Return entries of three regions; a smaller suffix means a wider link."""
    return [
        member(f"{r}1-{i}", 100 - i) for r in REGIONS for i in range(entries_per_region)
    ]


def settings(own: Member, reads_per_s: float) -> EntrySettings:
    return EntrySettings(
        own.name,
        own.region,
        own.domain,
        {},
        *(ADDRESS for _ in range(6)),
        store_reads_per_s=reads_per_s,
    )


def unserved_entries(own: Member) -> EntryReports:
    return EntryReports(own, lambda h: h.unserved, lambda d: d.unserved)


class Entry:
    """One entry's store role with the state it depends on."""

    def __init__(
        self, name: str, entries_per_region: int = 4, reads_per_s: float = 2_000.0
    ) -> None:
        members = site(entries_per_region)
        own = next(m for m in members if m.name == name)
        self.membership = Membership(own)
        self.members = [m for m in members if m is not own]
        self.unserved = unserved_entries(own)
        self.confirmation = Confirmation(member_id(name))
        rng = Random(1)
        self.role = StoreRole(
            self.membership,
            Roles(self.membership, rng),
            self.unserved,
            self.confirmation,
            lambda: settings(own, reads_per_s),
            rng,
        )
        self.receive_heartbeats(NOW)

    def receive_heartbeats(self, now: float) -> None:
        """Record a heartbeat of each other entry, so that all count as alive."""
        for m in self.members:
            self.membership.update_member(m, now)
            row = DigestRow(member_id(m.name), m.incarnation, SERVING)
            self.membership.record_heartbeat(HeartbeatObservation(row, now), now)

    def report_unserved(self, name: str, unserved: bool, now: float) -> None:
        sender = next(m for m in self.members if m.name == name)
        heartbeat = EntryHeartbeat(sender, 1, SERVING, 1, unserved=unserved)
        self.unserved.record_heartbeat(heartbeat, now)


def test_entries_with_widest_links_follow_the_store() -> None:
    following = [Entry(f"a1-{i}").role.follows(NOW) for i in range(4)]
    assert following == [True, True, False, False]


def test_follower_role_moves_from_unserved_entry_and_back() -> None:
    """Fails if the role is assigned by liveness alone, without the store's answers."""
    third = Entry("a1-2")
    third.report_unserved("a1-0", True, NOW)
    assert third.role.follows(NOW)
    third.report_unserved("a1-0", False, NOW)
    assert not third.role.follows(NOW)


def test_unserved_entry_yields_role_and_retries() -> None:
    first = Entry("a1-0")
    first.role.failed(NOW)
    assert first.role.is_unserved(NOW)
    assert not first.role.follows(NOW)
    later = NOW + RETRY_MEAN_S * (1 + MIN_FRACTION_OF_MEAN)
    first.receive_heartbeats(later)
    assert first.role.follows(later), "an unserved entry retries after the pause"
    assert first.role.is_unserved(later), (
        "it stays unserved, so the next entry keeps the role"
    )
    first.role.answered(later)
    assert not first.role.is_unserved(later)


def test_widest_links_keep_trying_when_all_are_unserved() -> None:
    first = Entry("a1-0")
    first.role.failed(NOW)
    for i in (1, 2, 3):
        first.report_unserved(f"a1-{i}", True, NOW)
    assert first.role.follows(NOW)


def test_unserved_report_expires() -> None:
    third = Entry("a1-2")
    third.report_unserved("a1-0", True, NOW)
    later = NOW + REPORT_MAX_AGE_S + 0.1
    third.receive_heartbeats(later)
    assert not third.role.follows(later)


def test_aggregators_forward_unserved_entries() -> None:
    """Reports travel from heartbeats of one failure domain to entries of another."""
    a1, a2 = member("a1-0"), member("a2-0")
    first, second = unserved_entries(a1), unserved_entries(a2)
    heartbeat = EntryHeartbeat(member("a1-1"), 1, SERVING, 1, unserved=True)
    first.record_heartbeat(heartbeat, NOW)
    unserved_ids = first.in_domain(True, NOW)
    assert sorted(unserved_ids) == sorted(member_id(n) for n in ("a1-0", "a1-1"))
    digest = Digest(
        "a1-0",
        DigestScope.DOMAIN,
        1,
        1,
        1,
        "p",
        [],
        [],
        unserved=_encode_ids(unserved_ids),
    )
    second.record_digest(digest, a1, NOW)
    assert set(second.in_region(False, NOW)) == set(unserved_ids)
    assert second.in_domain(False, NOW) == [], (
        "it must report its own failure domain only"
    )
    other = unserved_entries(member("a2-1"))
    total = Digest(
        "a2-0",
        DigestScope.ALL,
        1,
        1,
        1,
        "p",
        [],
        [],
        unserved=_encode_ids(unserved_ids),
    )
    other.record_digest(total, a2, NOW)
    assert other.others(NOW) == set(unserved_ids)
    assert other.others(NOW + REPORT_MAX_AGE_S + 0.1) == set()


def _encode_ids(unserved_ids: list[int]) -> bytes:
    return b"".join(i.to_bytes(4, "little") for i in unserved_ids)


def test_entry_queries_store_when_newest_answer_is_too_old() -> None:
    third = Entry("a1-2")
    third.confirmation.record_peer_answer(ReportedAnswer(at(1), 9, 0), at(1), NOW)
    assert not third.role.must_ask(NOW + MAX_ANSWER_AGE_S)
    third.receive_heartbeats(NOW + MAX_ANSWER_AGE_S + 0.2)
    assert third.role.must_ask(NOW + MAX_ANSWER_AGE_S + 0.2)


def test_queries_follow_the_order_of_links() -> None:
    """Once the first entries have an answer, the others need not query."""
    now = NOW + MAX_ANSWER_AGE_S + 0.07
    asking = []
    for i in range(4):
        entry = Entry(f"a1-{i}")
        entry.confirmation.record_peer_answer(ReportedAnswer(at(1), 9, 0), at(1), NOW)
        entry.receive_heartbeats(now)
        asking.append(entry.role.must_ask(now))
    assert asking == [True, True, False, False]


def test_unserved_entries_keep_their_rank_in_the_query_order() -> None:
    """Fails if failed queries promote other entries, which doubles the read rate."""
    third = Entry("a1-2")
    third.confirmation.record_peer_answer(ReportedAnswer(at(1), 9, 0), at(1), NOW)
    now = NOW + MAX_ANSWER_AGE_S + 0.07
    third.receive_heartbeats(now)
    for name in ("a1-0", "a1-1"):
        third.report_unserved(name, True, now)
    assert not third.role.must_ask(now)


def test_entry_that_cannot_fetch_newer_state_queries_early() -> None:
    """Other entries have the state, but this entry cannot fetch it from them."""
    last = Entry("a1-3")
    last.confirmation.record_peer_answer(ReportedAnswer(at(1), 9, 0), at(1), NOW)
    last.confirmation.record_peer_answer(
        ReportedAnswer(at(2), 10, 0), at(1), NOW + MAX_ANSWER_AGE_S
    )
    now = NOW + MAX_ANSWER_AGE_S + 0.02
    last.receive_heartbeats(now)
    assert last.role.must_ask(now)


def test_failed_query_is_followed_by_a_pause() -> None:
    third = Entry("a1-2")
    third.role.asked()
    third.role.failed(NOW)
    assert not third.role.must_ask(
        NOW + MIN_RETRY_PAUSE_S * MIN_FRACTION_OF_MEAN - 0.01
    )
    later = NOW + MIN_RETRY_PAUSE_S * (1 + MIN_FRACTION_OF_MEAN)
    third.receive_heartbeats(later)
    assert third.role.must_ask(later)


def test_query_pause_grows_with_number_of_entries() -> None:
    """All entries together stay within a share of the read rate during an outage."""
    one = Entry("a1-2", entries_per_region=100)
    one.role.asked()
    one.role.failed(NOW)
    mean_s = 300 * 2 / (0.025 * 2_000.0)
    one.receive_heartbeats(NOW + mean_s * MIN_FRACTION_OF_MEAN - 0.01)
    assert not one.role.must_ask(NOW + mean_s * MIN_FRACTION_OF_MEAN - 0.01)


def test_answered_query_makes_first_ranks_temporary_followers() -> None:
    third = Entry("a1-2")
    third.role.asked()
    third.role.answered(NOW)
    assert third.role.follows(NOW)
    later = NOW + TEMPORARY_FOLLOW_S
    third.receive_heartbeats(later)
    assert not third.role.follows(later)
    late_ranked = Entry("a1-9", entries_per_region=20)
    late_ranked.role.asked()
    late_ranked.role.answered(NOW)
    assert not late_ranked.role.follows(NOW), (
        "each follower costs one store call per change"
    )


def test_watch_ends_are_evenly_spaced_over_all_regions() -> None:
    ends = []
    for region in REGIONS:
        for i in range(2):
            role = Entry(f"{region}1-{i}").role
            ends.append(role.wait_s(NOW, 12_345.6) % MAX_WATCH_WAIT_S)
    ends.sort()
    gaps = [b - a for a, b in zip(ends, ends[1:], strict=False)]
    assert max(gaps) == pytest.approx(MAX_WATCH_WAIT_S / 6)


@pytest.mark.parametrize("time_of_day", [0.0, 0.1, 1.3, 2.49, 1e9 + 0.7])
def test_watch_wait_stays_within_bounds(
    time_of_day: float,
) -> None:
    wait_s = Entry("b1-1").role.wait_s(NOW, time_of_day)
    assert MIN_WATCH_WAIT_S <= wait_s < MAX_WATCH_WAIT_S + MIN_WATCH_WAIT_S


def test_isolated_region_has_shorter_waits() -> None:
    """The other regions are not alive, so only its own followers provide answers."""
    isolated = Entry("a1-0")
    later = NOW + 10.0
    for m in isolated.members:
        if m.region == "a":
            row = DigestRow(member_id(m.name), m.incarnation, SERVING)
            isolated.membership.record_heartbeat(
                HeartbeatObservation(row, later), later
            )
    assert isolated.role.wait_s(later, 0.0) <= 2 * CONFIRM_INTERVAL_S + MIN_WATCH_WAIT_S
