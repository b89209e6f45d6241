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
    ASK_AGAIN_S,
    CONFIRM_EVERY_S,
    LONGEST_WAIT_S,
    OUT_OF_TURN_S,
    SHORTEST_WAIT_S,
    STALE_S,
    StoreRole,
)
from leverdoor.settings import Address
from leverdoor.storage.store_availability import MIN_FRACTION_OF_MEAN, RETRY_MEAN_S

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


def test_the_widest_links_follow_while_the_store_answers_them() -> None:
    following = [Entry(f"a1-{i}").role.follows(AT) for i in range(4)]
    assert following == [True, True, False, False]


def test_the_role_goes_to_the_next_that_is_served_and_back() -> None:
    """An entry that was alive kept the role, whether or not the store answered it."""
    third = Entry("a1-2")
    third.tell_unserved("a1-0", True, AT)
    assert third.role.follows(AT)
    third.tell_unserved("a1-0", False, AT)
    assert not third.role.follows(AT)


def test_who_is_not_answered_hands_the_role_on_and_tries_again() -> None:
    first = Entry("a1-0")
    first.role.failed(AT)
    assert first.role.unserved(AT)
    assert not first.role.follows(AT)
    later = AT + RETRY_MEAN_S * (1 + MIN_FRACTION_OF_MEAN)
    first.hear(later)
    assert first.role.follows(later), "it tries"
    assert first.role.unserved(later), "and the next one keeps the role meanwhile"
    first.role.answered(later)
    assert not first.role.unserved(later)


def test_while_the_store_answers_nobody_the_widest_links_go_on_trying() -> None:
    first = Entry("a1-0")
    first.role.failed(AT)
    for i in (1, 2, 3):
        first.tell_unserved(f"a1-{i}", True, AT)
    assert first.role.follows(AT)


def test_what_was_told_of_an_unserved_entry_is_forgotten() -> None:
    third = Entry("a1-2")
    third.tell_unserved("a1-0", True, AT)
    later = AT + TRUST_S + 0.1
    third.hear(later)
    assert not third.role.follows(later)


def test_aggregators_pass_on_who_is_unserved() -> None:
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


def test_an_entry_asks_once_the_newest_answer_is_too_old() -> None:
    third = Entry("a1-2")
    third.confirmation.peer_told(ToldAnswer(1, 9, 0), 1, AT)
    assert not third.role.must_ask(AT + STALE_S)
    third.hear(AT + STALE_S + 0.2)
    assert third.role.must_ask(AT + STALE_S + 0.2)


def test_the_first_by_link_ask_first() -> None:
    """So that their answer spares the others the call."""
    now = AT + STALE_S + 0.07
    asking = []
    for i in range(4):
        entry = Entry(f"a1-{i}")
        entry.confirmation.peer_told(ToldAnswer(1, 9, 0), 1, AT)
        entry.hear(now)
        asking.append(entry.role.must_ask(now))
    assert asking == [True, True, False, False]


def test_the_order_of_asking_does_not_close_up_as_the_first_fail() -> None:
    """Else all of a large region asked twice as fast as the store's reads allow."""
    third = Entry("a1-2")
    third.confirmation.peer_told(ToldAnswer(1, 9, 0), 1, AT)
    now = AT + STALE_S + 0.07
    third.hear(now)
    for name in ("a1-0", "a1-1"):
        third.tell_unserved(name, True, now)
    assert not third.role.must_ask(now)


def test_who_knows_of_a_newer_state_asks_without_waiting_for_others() -> None:
    """Others have it, and their answers don't come here: nobody else can help."""
    last = Entry("a1-3")
    last.confirmation.peer_told(ToldAnswer(1, 9, 0), 1, AT)
    last.confirmation.peer_told(ToldAnswer(2, 10, 0), 1, AT + STALE_S)
    now = AT + STALE_S + 0.02
    last.hear(now)
    assert last.role.must_ask(now)


def test_who_asked_in_vain_pauses() -> None:
    third = Entry("a1-2")
    third.role.asked()
    third.role.failed(AT)
    assert not third.role.must_ask(AT + ASK_AGAIN_S * MIN_FRACTION_OF_MEAN - 0.01)
    later = AT + ASK_AGAIN_S * (1 + MIN_FRACTION_OF_MEAN)
    third.hear(later)
    assert third.role.must_ask(later)


def test_pauses_grow_with_the_number_of_entries() -> None:
    """All together keep to a part of the store's reads while it answers nobody."""
    one = Entry("a1-2", size=100)
    one.role.asked()
    one.role.failed(AT)
    mean_s = 300 * 2 / (0.025 * 2_000.0)
    one.hear(AT + mean_s * MIN_FRACTION_OF_MEAN - 0.01)
    assert not one.role.must_ask(AT + mean_s * MIN_FRACTION_OF_MEAN - 0.01)


def test_the_next_few_that_were_answered_follow_for_a_while() -> None:
    third = Entry("a1-2")
    third.role.asked()
    third.role.answered(AT)
    assert third.role.follows(AT)
    later = AT + OUT_OF_TURN_S
    third.hear(later)
    assert not third.role.follows(later)
    far_down = Entry("a1-9", size=20)
    far_down.role.asked()
    far_down.role.answered(AT)
    assert not far_down.role.follows(AT), "each follower costs a call a change"


def test_the_followers_of_all_regions_end_their_watches_in_turn() -> None:
    ends = []
    for region in REGIONS:
        for i in range(2):
            role = Entry(f"{region}1-{i}").role
            ends.append(role.wait_s(AT, 12_345.6) % LONGEST_WAIT_S)
    ends.sort()
    gaps = [b - a for a, b in zip(ends, ends[1:], strict=False)]
    assert max(gaps) == pytest.approx(LONGEST_WAIT_S / 6)


@pytest.mark.parametrize("time_of_day", [0.0, 0.1, 1.3, 2.49, 1e9 + 0.7])
def test_a_watch_neither_ends_at_once_nor_waits_for_longer_than_two_turns(
    time_of_day: float,
) -> None:
    wait_s = Entry("b1-1").role.wait_s(AT, time_of_day)
    assert SHORTEST_WAIT_S <= wait_s < LONGEST_WAIT_S + SHORTEST_WAIT_S


def test_a_region_alone_has_shorter_waits() -> None:
    """Its own followers are all that it learns the age of an answer from."""
    alone = Entry("a1-0")
    later = AT + 10.0
    for m in alone.members:
        if m.region == "a":
            row = MemberRow(member_id(m.name), m.incarnation, SERVING)
            alone.membership.observe(LastSeen(row, later), later)
    assert alone.role.wait_s(later, 0.0) <= 2 * CONFIRM_EVERY_S + SHORTEST_WAIT_S
