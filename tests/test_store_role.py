# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""When an entry follows the store, when it asks it, and how long its watch waits."""

from random import Random

import pytest

from leverdoor.entry.configuration.confirmation import Confirmation, ToldAnswer
from leverdoor.entry.exchange.messages import Digest, DigestScope, EntryHeartbeat
from leverdoor.entry.exchange.unserved import TRUST_S, UnservedEntries
from leverdoor.entry.membership.member import SERVING, Member, MemberRow, member_id
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import LastSeen
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
from leverdoor.settings import Address
from leverdoor.storage.served import LEAST_OF_MEAN, TRY_AGAIN_S

REGIONS = ("a", "b", "c")
HERE = Address("127.0.0.1", 1)
AT = 1_000.0


def member(name: str, link_mbps: int = 20) -> Member:
    """`a1-0` is an entry of domain a1 in region a."""
    domain = name.split("-")[0]
    return Member(name, domain[0], domain, "f", "g", "p", 1, link_mbps)


def site(size: int = 4) -> list[Member]:
    """Return entries of three regions; the smaller its number, the wider its link."""
    return [member(f"{r}1-{i}", 100 - i) for r in REGIONS for i in range(size)]


def settings(own: Member, reads_per_s: float) -> EntrySettings:
    return EntrySettings(
        own.name,
        own.region,
        own.domain,
        {},
        *(HERE for _ in range(6)),
        store_reads_per_s=reads_per_s,
    )


class Entry:
    """One entry's role, and all that it rests on."""

    def __init__(self, name: str, size: int = 4, reads_per_s: float = 2_000.0) -> None:
        members = site(size)
        own = next(m for m in members if m.name == name)
        self.membership = Membership(own)
        self.members = [m for m in members if m is not own]
        self.unserved = UnservedEntries(own)
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
        self.hear(AT)

    def hear(self, now: float) -> None:
        """Hear from all others, none of which is dead."""
        for m in self.members:
            self.membership.introduce(m, now)
            row = MemberRow(member_id(m.name), m.incarnation, SERVING)
            self.membership.observe(LastSeen(row, now), now)

    def tell_unserved(self, name: str, unserved: bool, now: float) -> None:
        sender = next(m for m in self.members if m.name == name)
        beat = EntryHeartbeat(sender, 1, SERVING, 1, unserved=unserved)
        self.unserved.take_heartbeat(beat, now)


def test_entries_with_widest_links_follow_the_store() -> None:
    following = [Entry(f"a1-{i}").role.follows(AT) for i in range(4)]
    assert following == [True, True, False, False]


def test_follower_role_moves_from_unserved_entry_and_back() -> None:
    """An entry that was alive kept the role, whether or not the store answered it."""
    third = Entry("a1-2")
    third.tell_unserved("a1-0", True, AT)
    assert third.role.follows(AT)
    third.tell_unserved("a1-0", False, AT)
    assert not third.role.follows(AT)


def test_unserved_entry_yields_role_and_retries() -> None:
    first = Entry("a1-0")
    first.role.failed(AT)
    assert first.role.unserved(AT)
    assert not first.role.follows(AT)
    later = AT + TRY_AGAIN_S * (1 + LEAST_OF_MEAN)
    first.hear(later)
    assert first.role.follows(later), "it tries"
    assert first.role.unserved(later), "and the next one keeps the role meanwhile"
    first.role.answered(later)
    assert not first.role.unserved(later)


def test_widest_links_keep_trying_when_all_are_unserved() -> None:
    first = Entry("a1-0")
    first.role.failed(AT)
    for i in (1, 2, 3):
        first.tell_unserved(f"a1-{i}", True, AT)
    assert first.role.follows(AT)


def test_unserved_report_expires() -> None:
    third = Entry("a1-2")
    third.tell_unserved("a1-0", True, AT)
    later = AT + TRUST_S + 0.1
    third.hear(later)
    assert not third.role.follows(later)


def test_aggregators_forward_unserved_entries() -> None:
    """From the heartbeats of one failure domain to the entries of another."""
    a1, a2 = member("a1-0"), member("a2-0")
    first, second = UnservedEntries(a1), UnservedEntries(a2)
    beat = EntryHeartbeat(member("a1-1"), 1, SERVING, 1, unserved=True)
    first.take_heartbeat(beat, AT)
    told = first.of_domain(True, AT)
    assert sorted(told) == sorted(member_id(n) for n in ("a1-0", "a1-1"))
    digest = Digest(
        "a1-0", DigestScope.DOMAIN, 1, 1, 1, "p", [], [], unserved=_ids(told)
    )
    second.take_digest(digest, a1, AT)
    assert set(second.of_region(False, AT)) == set(told)
    assert second.of_domain(False, AT) == [], "of the own failure domain only"
    other = UnservedEntries(member("a2-1"))
    total = Digest("a2-0", DigestScope.ALL, 1, 1, 1, "p", [], [], unserved=_ids(told))
    other.take_digest(total, a2, AT)
    assert other.all_known(AT) == set(told)
    assert other.all_known(AT + TRUST_S + 0.1) == set()


def _ids(told: list[int]) -> bytes:
    return b"".join(i.to_bytes(4, "little") for i in told)


def test_entry_queries_store_when_newest_answer_is_too_old() -> None:
    third = Entry("a1-2")
    third.confirmation.peer_told(ToldAnswer(1, 9, 0), 1, AT)
    assert not third.role.must_ask(AT + MAX_ANSWER_AGE_S)
    third.hear(AT + MAX_ANSWER_AGE_S + 0.2)
    assert third.role.must_ask(AT + MAX_ANSWER_AGE_S + 0.2)


def test_queries_follow_the_order_of_links() -> None:
    """So that their answer spares the others the call."""
    now = AT + MAX_ANSWER_AGE_S + 0.07
    asking = []
    for i in range(4):
        entry = Entry(f"a1-{i}")
        entry.confirmation.peer_told(ToldAnswer(1, 9, 0), 1, AT)
        entry.hear(now)
        asking.append(entry.role.must_ask(now))
    assert asking == [True, True, False, False]


def test_unserved_entries_keep_their_rank_in_the_query_order() -> None:
    """Else all of a large region asked twice as fast as the store's reads allow."""
    third = Entry("a1-2")
    third.confirmation.peer_told(ToldAnswer(1, 9, 0), 1, AT)
    now = AT + MAX_ANSWER_AGE_S + 0.07
    third.hear(now)
    for name in ("a1-0", "a1-1"):
        third.tell_unserved(name, True, now)
    assert not third.role.must_ask(now)


def test_entry_that_cannot_fetch_newer_state_queries_early() -> None:
    """Others have it, and their answers don't come here: nobody else can help."""
    last = Entry("a1-3")
    last.confirmation.peer_told(ToldAnswer(1, 9, 0), 1, AT)
    last.confirmation.peer_told(ToldAnswer(2, 10, 0), 1, AT + MAX_ANSWER_AGE_S)
    now = AT + MAX_ANSWER_AGE_S + 0.02
    last.hear(now)
    assert last.role.must_ask(now)


def test_failed_query_is_followed_by_a_pause() -> None:
    third = Entry("a1-2")
    third.role.asked()
    third.role.failed(AT)
    assert not third.role.must_ask(AT + MIN_RETRY_PAUSE_S * LEAST_OF_MEAN - 0.01)
    later = AT + MIN_RETRY_PAUSE_S * (1 + LEAST_OF_MEAN)
    third.hear(later)
    assert third.role.must_ask(later)


def test_query_pause_grows_with_number_of_entries() -> None:
    """All together keep to a part of the store's reads while it answers nobody."""
    one = Entry("a1-2", size=100)
    one.role.asked()
    one.role.failed(AT)
    mean_s = 300 * 2 / (0.025 * 2_000.0)
    one.hear(AT + mean_s * LEAST_OF_MEAN - 0.01)
    assert not one.role.must_ask(AT + mean_s * LEAST_OF_MEAN - 0.01)


def test_answered_query_makes_low_ranks_temporary_followers() -> None:
    third = Entry("a1-2")
    third.role.asked()
    third.role.answered(AT)
    assert third.role.follows(AT)
    later = AT + TEMPORARY_FOLLOW_S
    third.hear(later)
    assert not third.role.follows(later)
    far_down = Entry("a1-9", size=20)
    far_down.role.asked()
    far_down.role.answered(AT)
    assert not far_down.role.follows(AT), "each follower costs a call a change"


def test_watch_ends_are_evenly_spaced_over_all_regions() -> None:
    ends = []
    for region in REGIONS:
        for i in range(2):
            role = Entry(f"{region}1-{i}").role
            ends.append(role.wait_s(AT, 12_345.6) % MAX_WATCH_WAIT_S)
    ends.sort()
    gaps = [b - a for a, b in zip(ends, ends[1:], strict=False)]
    assert max(gaps) == pytest.approx(MAX_WATCH_WAIT_S / 6)


@pytest.mark.parametrize("time_of_day", [0.0, 0.1, 1.3, 2.49, 1e9 + 0.7])
def test_watch_wait_stays_within_bounds(
    time_of_day: float,
) -> None:
    wait_s = Entry("b1-1").role.wait_s(AT, time_of_day)
    assert MIN_WATCH_WAIT_S <= wait_s < MAX_WATCH_WAIT_S + MIN_WATCH_WAIT_S


def test_isolated_region_has_shorter_waits() -> None:
    """Its own followers are all that it learns the age of an answer from."""
    alone = Entry("a1-0")
    later = AT + 10.0
    for m in alone.members:
        if m.region == "a":
            row = MemberRow(member_id(m.name), m.incarnation, SERVING)
            alone.membership.observe(LastSeen(row, later), later)
    assert alone.role.wait_s(later, 0.0) <= 2 * CONFIRM_INTERVAL_S + MIN_WATCH_WAIT_S
