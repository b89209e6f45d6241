# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which entries are known, named to clients, and followers of the store."""

from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from leverdoor.codec import pack
from leverdoor.entry.membership.entry_selection import EntrySelector
from leverdoor.entry.membership.liveness import (
    REMOTE_SILENCE_S,
    SILENCE_S,
    SUPERSEDE_SILENCE_S,
)
from leverdoor.entry.membership.member import (
    LEAVING,
    SERVING,
    STARTING,
    Member,
    MemberRow,
    member_id,
)
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import LastSeen
from leverdoor.entry.membership.roles import (
    AGGREGATOR_RETRY_S,
    AGGREGATOR_SILENCE_S,
    AGGREGATORS,
    Roles,
)


class Peers(Membership):
    """The entries that one knows, their roles, and which of them it names."""

    def __init__(self, own: Member, rng: Random) -> None:
        super().__init__(own)
        self.roles = Roles(self, rng)
        self.selector = EntrySelector(self)

    def everyone(self) -> list[str]:
        """Return the heartbeat addresses of all entries."""
        return [r.member.gossip for r in self.records(self.all_domains())]


def member(name: str, incarnation: int = 1) -> Member:
    """`a1-0` is an entry of domain a1 in region a."""
    domain = name.split("-")[0]
    return Member(
        name, domain[0], domain, f"f/{name}", f"g/{name}", f"p/{name}", incarnation
    )


def receive(
    r: Peers,
    name: str,
    now: float,
    state: int = SERVING,
    incarnation: int = 1,
    link_mbps: int = 0,
) -> bool:
    """Let a heartbeat of an entry arrive."""
    described = msgspec.structs.replace(member(name, incarnation), link_mbps=link_mbps)
    r.update_member(described, now)
    return r.record_heartbeat(
        LastSeen(MemberRow(member_id(name), incarnation, state), now), now
    )


def membership(own: str = "a1-0") -> Peers:
    return Peers(member(own), Random(own))


def test_entries_are_found_in_the_store_and_named_once_heard() -> None:
    r = membership()
    r.add_registered({"x": pack(member("a1-1")), "bad": b"\xff"}, 0.0)
    assert r.everyone() == ["g/a1-1"]
    assert r.selector.addresses("a", "a1", SERVING, 0.0) == ["f/a1-0"]
    receive(r, "a1-1", 0.1)
    assert r.selector.addresses("a", "a1", SERVING, 0.2) == ["f/a1-0", "f/a1-1"]


def test_a_silent_entry_is_not_named() -> None:
    r = membership()
    receive(r, "a1-1", 0.0)
    late = SILENCE_S + 0.1
    assert r.selector.addresses("a", "a1", SERVING, late) == ["f/a1-0"]


def test_a_leaving_or_starting_entry_is_not_named() -> None:
    r = membership()
    receive(r, "a1-1", 0.0, LEAVING)
    receive(r, "a1-2", 0.0, STARTING)
    assert r.selector.addresses("a", "a1", SERVING, 0.0) == ["f/a1-0"]
    assert r.selector.addresses("a", "a1", LEAVING, 0.0) == ["f/a1-0"]
    receive(r, "a1-3", 0.0)
    assert r.selector.addresses("a", "a1", LEAVING, 0.0) == ["f/a1-3"]


def test_an_old_life_says_nothing_about_a_new_one() -> None:
    r = membership()
    receive(r, "a1-1", 0.0, incarnation=2)
    assert not receive(r, "a1-1", 0.1, LEAVING, incarnation=1)
    assert r.selector.addresses("a", "a1", SERVING, 0.1) == ["f/a1-0", "f/a1-1"]


def test_an_entry_whose_clock_was_set_back_is_heard_again() -> None:
    """Its new life has the lower incarnation; the old one speaks no more."""
    r = membership()
    receive(r, "a1-1", 0.0, incarnation=9)
    assert not receive(r, "a1-1", 0.2, incarnation=3)
    receive(r, "a1-1", SUPERSEDE_SILENCE_S + 0.1, incarnation=3)
    now = SUPERSEDE_SILENCE_S + 0.2
    assert r.selector.addresses("a", "a1", SERVING, now) == ["f/a1-0", "f/a1-1"]
    r.add_registered({"x": pack(member("a1-1", 9))}, now)
    assert r.selector.addresses("a", "a1", SERVING, now + 0.2) == ["f/a1-0", "f/a1-1"]


def test_a_domain_with_one_entry_is_helped_by_its_region() -> None:
    r = membership()
    for name in ("a2-0", "a2-1", "b1-0"):
        receive(r, name, 0.0)
    assert r.selector.addresses("a", "a1", SERVING, 0.0) == [
        "f/a1-0",
        "f/a2-0",
        "f/a2-1",
    ]
    assert r.selector.addresses("a", "a2", SERVING, 0.0) == ["f/a2-0", "f/a2-1"]


def test_another_region_is_named_only_when_the_clients_has_none() -> None:
    r = membership()
    receive(r, "b1-0", 0.0)
    assert r.selector.addresses("b", "b1", SERVING, 0.0) == ["f/b1-0"]
    assert r.selector.addresses("b", "b1", SERVING, 9.0) == ["f/a1-0"]


def test_followers_are_few_and_replaced() -> None:
    names = [f"a1-{i}" for i in range(5)]
    views = {n: membership(n) for n in names}
    for r in views.values():
        for n in names:
            receive(r, n, 0.0)
    elected = [n for n, r in views.items() if r.roles.follows_store(2, 0.0)]
    assert len(elected) == 2
    for n, r in views.items():
        for other in names:
            if other not in elected and other != n:
                receive(r, other, 5.0)
    again = [
        n
        for n, r in views.items()
        if n not in elected and r.roles.follows_store(2, 5.0)
    ]
    assert len(again) == 2


def test_a_lone_entry_follows_the_store() -> None:
    assert membership().roles.follows_store(2, 0.0)


def links(n: int) -> list[Member]:
    """Entries of one failure domain, three of them with wide links."""
    return [
        msgspec.structs.replace(member(f"a1-{i}"), link_mbps=200 if i < 3 else 20)
        for i in range(n)
    ]


def heard_by_all(members: list[Member], now: float) -> list[Peers]:
    views = [Peers(m, Random(m.name)) for m in members]
    for r in views:
        for m in members:
            receive(r, m.name, now, link_mbps=m.link_mbps)
    return views


def test_followers_have_the_widest_links() -> None:
    views = heard_by_all(links(6), 0.0)
    chosen = [r.own.link_mbps for r in views if r.roles.follows_store(2, 0.0)]
    assert chosen == [200, 200]


def test_all_entries_see_the_same_aggregators_with_the_widest_links() -> None:
    views = heard_by_all(links(20), 0.0)
    chosen = {tuple(m.name for m in r.roles.aggregators("a1", 0.0)) for r in views}
    assert len(chosen) == 1
    names = next(iter(chosen))
    assert len(names) == AGGREGATORS
    assert set(names) < {"a1-0", "a1-1", "a1-2"}
    assert sum(r.roles.is_aggregator(0.0) for r in views) == AGGREGATORS


def test_an_aggregator_that_is_quiet_is_passed_over_before_it_counts_as_silent() -> (
    None
):
    members = links(20)
    r = Peers(members[9], Random(1))
    for m in members:
        receive(r, m.name, 0.0, link_mbps=m.link_mbps)
    first, second = (m.name for m in r.roles.aggregators("a1", 0.0))
    late = AGGREGATOR_SILENCE_S + 0.1
    r.roles.note_digest(second, late)
    assert late < SILENCE_S
    chosen = [m.name for m in r.roles.aggregators("a1", late)]
    assert first not in chosen
    assert second in chosen
    assert len(chosen) == AGGREGATORS
    assert first in [m.name for m in r.roles.recipients("a1", late)], (
        "it must hear of it"
    )
    r.roles.note_digest(first, late + 0.1)
    assert [m.name for m in r.roles.aggregators("a1", late + 0.1)] == [first, second]


def test_an_aggregator_that_never_spoke_is_tried_again() -> None:
    members = links(2)
    r = Peers(members[1], Random(1))
    for now in (0.0, AGGREGATOR_SILENCE_S + 0.1, AGGREGATOR_RETRY_S + 0.1):
        receive(r, "a1-0", now, link_mbps=200)
        r.roles.aggregators("a1", now)
    now = AGGREGATOR_RETRY_S + 0.1
    assert "a1-0" in [m.name for m in r.roles.aggregators("a1", now)]


def test_a_domain_that_is_cut_off_is_tried_until_it_is_heard() -> None:
    r = membership()
    for i in range(5):
        receive(r, f"b1-{i}", 0.0)
    late = REMOTE_SILENCE_S + 1.0
    assert r.roles.aggregators("b1", late) == []
    assert 0 < len(r.roles.recipients("b1", late)) <= 2 * AGGREGATORS + 1


def test_far_entries_are_given_more_time_than_near_ones() -> None:
    r = membership()
    receive(r, "a1-1", 0.0)
    receive(r, "b1-1", 0.0)
    later = SILENCE_S + 0.1
    assert [m.name for m in r.live(later)] == ["b1-1"]
    assert r.live(REMOTE_SILENCE_S + 0.1) == []


def test_the_silence_that_counts_does_not_grow_with_the_number_of_entries() -> None:
    """At 195 entries it was 13.6 s in a region when it followed their number."""
    members = [member(f"a1-{i}") for i in range(195)]
    r = Peers(members[0], Random(1))
    for m in members:
        receive(r, m.name, 0.0)
    assert r.selector.addresses("a", "a1", SERVING, SILENCE_S + 0.2) == ["f/a1-0"]


def test_who_is_found_and_lost_is_logged_once() -> None:
    r = membership()
    receive(r, "a1-1", 0.0)
    assert r.changes(0.1) == [("a1-1", "heard", 0.0)]
    assert r.changes(0.2) == []
    assert r.changes(5.0) == [("a1-1", "silent", 5.0)]
    assert r.changes(6.0) == []


OBSERVATIONS = st.lists(
    st.builds(
        LastSeen,
        st.builds(
            MemberRow,
            st.just(member_id("a1-1")),
            st.integers(1, 3),
            st.sampled_from([STARTING, SERVING, LEAVING]),
        ),
        st.floats(0.0, 1.0).map(lambda at: round(at, 2)),
    ),
    min_size=1,
    max_size=8,
)


@settings(derandomize=True, deadline=None)
@given(OBSERVATIONS, st.randoms(use_true_random=False))
def test_order_and_repeats_of_what_is_told_do_not_matter(
    observations: list[LastSeen], shuffle: Random
) -> None:
    """The newest life wins, with its last state and its newest heartbeat."""
    other = observations + observations[: len(observations) // 2]
    shuffle.shuffle(other)
    found = []
    for told in (observations, other):
        r = membership()
        r.update_member(member("a1-1"), 0.0)
        for one in told:
            r.record_heartbeat(one, 1.0)
        found.append(r.last_seen("a1"))
    assert found[0] == found[1]
    newest = max(s.row.incarnation for s in observations)
    of_life = [s for s in observations if s.row.incarnation == newest]
    row = MemberRow(member_id("a1-1"), newest, max(s.row.state for s in of_life))
    assert found[0] == [LastSeen(row, max(s.at for s in of_life))]


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 4), max_size=12))
def test_an_old_life_never_comes_back_while_a_later_one_speaks(
    incarnations: list[int],
) -> None:
    r = membership()
    now = 0.0
    for incarnation in incarnations:
        now += 0.2
        receive(r, "a1-1", now, incarnation=5)
        receive(r, "a1-1", now, LEAVING, incarnation=incarnation)
        assert "f/a1-1" in r.selector.addresses("a", "a1", SERVING, now)
