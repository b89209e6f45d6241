# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of the membership of entries, their selection for look-ups and their roles."""

from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from leverdoor.codec import pack
from leverdoor.entry.membership.entry_selection import EntrySelector
from leverdoor.entry.membership.liveness import (
    RECORD_TTL_S,
    REMOTE_SILENCE_S,
    SILENCE_S,
    SUPERSEDE_SILENCE_S,
)
from leverdoor.entry.membership.member import (
    LEAVING,
    SERVING,
    STARTING,
    DigestRow,
    Member,
    link_sort_key,
    member_id,
)
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import HeartbeatObservation
from leverdoor.entry.membership.roles import (
    AGGREGATOR_RETRY_S,
    AGGREGATOR_SILENCE_S,
    AGGREGATORS,
    Roles,
)


class EntryView(Membership):
    """Membership of one entry with its roles and its selector for look-ups."""

    def __init__(self, own: Member, rng: Random) -> None:
        super().__init__(own)
        self.roles = Roles(self, rng)
        self.selector = EntrySelector(self)

    def gossip_addresses(self) -> list[str]:
        """Return the gossip addresses of all known entries."""
        return [record.member.gossip for record in self.records(self.all_domains())]


def member(name: str, incarnation: int = 1) -> Member:
    """Return an entry; `a1-0` is in failure domain a1 of region a."""
    domain = name.split("-")[0]
    return Member(
        name, domain[0], domain, f"f/{name}", f"g/{name}", f"p/{name}", incarnation
    )


def deliver_heartbeat(
    view: EntryView,
    name: str,
    now: float,
    state: int = SERVING,
    incarnation: int = 1,
    link_mbps: int = 0,
) -> bool:
    """Deliver a heartbeat of an entry; return whether it was newer."""
    described_member = msgspec.structs.replace(
        member(name, incarnation), link_mbps=link_mbps
    )
    view.update_member(described_member, now)
    return view.record_heartbeat(
        HeartbeatObservation(DigestRow(member_id(name), incarnation, state), now), now
    )


def entry_view(own: str = "a1-0") -> EntryView:
    return EntryView(member(own), Random(own))


def test_registered_entries_are_selected_after_their_first_heartbeat() -> None:
    view = entry_view()
    view.add_registered({"x": pack(member("a1-1")), "bad": b"\xff"}, 0.0)
    assert view.gossip_addresses() == ["g/a1-1"]
    assert view.selector.select_addresses("a", "a1", SERVING, 0.0) == ["f/a1-0"]
    deliver_heartbeat(view, "a1-1", 0.1)
    assert view.selector.select_addresses("a", "a1", SERVING, 0.2) == [
        "f/a1-0",
        "f/a1-1",
    ]


def test_silent_entries_are_not_selected() -> None:
    view = entry_view()
    deliver_heartbeat(view, "a1-1", 0.0)
    after_silence = SILENCE_S + 0.1
    assert view.selector.select_addresses("a", "a1", SERVING, after_silence) == [
        "f/a1-0"
    ]


def test_leaving_and_starting_entries_are_not_selected() -> None:
    view = entry_view()
    deliver_heartbeat(view, "a1-1", 0.0, LEAVING)
    deliver_heartbeat(view, "a1-2", 0.0, STARTING)
    assert view.selector.select_addresses("a", "a1", SERVING, 0.0) == ["f/a1-0"]
    assert view.selector.select_addresses("a", "a1", LEAVING, 0.0) == ["f/a1-0"]
    deliver_heartbeat(view, "a1-3", 0.0)
    assert view.selector.select_addresses("a", "a1", LEAVING, 0.0) == ["f/a1-3"]


def test_heartbeats_of_an_old_incarnation_are_ignored() -> None:
    view = entry_view()
    deliver_heartbeat(view, "a1-1", 0.0, incarnation=2)
    assert not deliver_heartbeat(view, "a1-1", 0.1, LEAVING, incarnation=1)
    assert view.selector.select_addresses("a", "a1", SERVING, 0.1) == [
        "f/a1-0",
        "f/a1-1",
    ]


def test_an_entry_is_selected_again_after_its_clock_was_set_back() -> None:
    """The incarnation after a restart is lower if the clock was set back.

    It is accepted once the earlier incarnation has been silent.
    """
    view = entry_view()
    deliver_heartbeat(view, "a1-1", 0.0, incarnation=9)
    assert not deliver_heartbeat(view, "a1-1", 0.2, incarnation=3)
    deliver_heartbeat(view, "a1-1", SUPERSEDE_SILENCE_S + 0.1, incarnation=3)
    now = SUPERSEDE_SILENCE_S + 0.2
    assert view.selector.select_addresses("a", "a1", SERVING, now) == [
        "f/a1-0",
        "f/a1-1",
    ]
    view.add_registered({"x": pack(member("a1-1", 9))}, now)
    assert view.selector.select_addresses("a", "a1", SERVING, now + 0.2) == [
        "f/a1-0",
        "f/a1-1",
    ]


def test_a_domain_with_one_entry_falls_back_to_its_region() -> None:
    view = entry_view()
    for name in ("a2-0", "a2-1", "b1-0"):
        deliver_heartbeat(view, name, 0.0)
    assert view.selector.select_addresses("a", "a1", SERVING, 0.0) == [
        "f/a1-0",
        "f/a2-0",
        "f/a2-1",
    ]
    assert view.selector.select_addresses("a", "a2", SERVING, 0.0) == [
        "f/a2-0",
        "f/a2-1",
    ]


def test_other_regions_are_selected_only_without_live_entries_in_the_region() -> None:
    view = entry_view()
    deliver_heartbeat(view, "b1-0", 0.0)
    assert view.selector.select_addresses("b", "b1", SERVING, 0.0) == ["f/b1-0"]
    assert view.selector.select_addresses("b", "b1", SERVING, 9.0) == ["f/a1-0"]


def test_two_followers_are_elected_and_replaced_when_silent() -> None:
    names = [f"a1-{i}" for i in range(5)]
    views = {n: entry_view(n) for n in names}
    for view in views.values():
        for n in names:
            deliver_heartbeat(view, n, 0.0)
    followers = [n for n, view in views.items() if view.roles.follows_store(2, 0.0)]
    assert len(followers) == 2
    for n, view in views.items():
        for other in names:
            if other not in followers and other != n:
                deliver_heartbeat(view, other, 5.0)
    replacements = [
        n
        for n, view in views.items()
        if n not in followers and view.roles.follows_store(2, 5.0)
    ]
    assert len(replacements) == 2


def test_a_lone_entry_follows_the_store() -> None:
    assert entry_view().roles.follows_store(2, 0.0)


def members_with_links(n: int) -> list[Member]:
    """Return entries of one failure domain, the first three with wide links."""
    return [
        msgspec.structs.replace(member(f"a1-{i}"), link_mbps=200 if i < 3 else 20)
        for i in range(n)
    ]


def views_of_all(members: list[Member], now: float) -> list[EntryView]:
    views = [EntryView(m, Random(m.name)) for m in members]
    for view in views:
        for m in members:
            deliver_heartbeat(view, m.name, now, link_mbps=m.link_mbps)
    return views


def test_followers_have_the_widest_links() -> None:
    views = views_of_all(members_with_links(6), 0.0)
    chosen = [view.own.link_mbps for view in views if view.roles.follows_store(2, 0.0)]
    assert chosen == [200, 200]


def test_all_entries_compute_the_same_aggregators_with_the_widest_links() -> None:
    views = views_of_all(members_with_links(20), 0.0)
    chosen = {
        tuple(m.name for m in view.roles.aggregators("a1", 0.0)) for view in views
    }
    assert len(chosen) == 1
    names = next(iter(chosen))
    assert len(names) == AGGREGATORS
    assert set(names) < {"a1-0", "a1-1", "a1-2"}
    assert sum(view.roles.is_aggregator(0.0) for view in views) == AGGREGATORS


def test_an_aggregator_without_digests_is_replaced_before_it_is_silent() -> None:
    members = members_with_links(20)
    view = EntryView(members[9], Random(1))
    for m in members:
        deliver_heartbeat(view, m.name, 0.0, link_mbps=m.link_mbps)
    first, second = (m.name for m in view.roles.aggregators("a1", 0.0))
    after_silence = AGGREGATOR_SILENCE_S + 0.1
    view.roles.record_digest(second, after_silence)
    assert after_silence < SILENCE_S
    chosen = [m.name for m in view.roles.aggregators("a1", after_silence)]
    assert first not in chosen
    assert second in chosen
    assert len(chosen) == AGGREGATORS
    assert first in [m.name for m in view.roles.recipients("a1", after_silence)], (
        "a skipped entry must remain a recipient"
    )
    view.roles.record_digest(first, after_silence + 0.1)
    assert [m.name for m in view.roles.aggregators("a1", after_silence + 0.1)] == [
        first,
        second,
    ]


def test_an_aggregator_that_sent_no_digest_is_retried() -> None:
    members = members_with_links(2)
    view = EntryView(members[1], Random(1))
    for now in (0.0, AGGREGATOR_SILENCE_S + 0.1, AGGREGATOR_RETRY_S + 0.1):
        deliver_heartbeat(view, "a1-0", now, link_mbps=200)
        view.roles.aggregators("a1", now)
    now = AGGREGATOR_RETRY_S + 0.1
    assert "a1-0" in [m.name for m in view.roles.aggregators("a1", now)]


def test_a_few_entries_of_a_partitioned_domain_are_probed() -> None:
    view = entry_view()
    for i in range(5):
        deliver_heartbeat(view, f"b1-{i}", 0.0)
    after_silence = REMOTE_SILENCE_S + 1.0
    assert view.roles.aggregators("b1", after_silence) == []
    assert 0 < len(view.roles.recipients("b1", after_silence)) <= 2 * AGGREGATORS + 1


def test_entries_of_other_regions_have_a_longer_timeout() -> None:
    view = entry_view()
    deliver_heartbeat(view, "a1-1", 0.0)
    deliver_heartbeat(view, "b1-1", 0.0)
    later = SILENCE_S + 0.1
    assert [m.name for m in view.live(later)] == ["b1-1"]
    assert view.live(REMOTE_SILENCE_S + 0.1) == []


def test_the_silence_timeout_does_not_grow_with_the_number_of_entries() -> None:
    """A timeout in proportion to the number of entries would be 13.6 s at 195."""
    members = [member(f"a1-{i}") for i in range(195)]
    view = EntryView(members[0], Random(1))
    for m in members:
        deliver_heartbeat(view, m.name, 0.0)
    assert view.selector.select_addresses("a", "a1", SERVING, SILENCE_S + 0.2) == [
        "f/a1-0"
    ]


def test_each_liveness_change_is_returned_once() -> None:
    view = entry_view()
    deliver_heartbeat(view, "a1-1", 0.0)
    assert view.changes(0.1) == [("a1-1", "heard", 0.0)]
    assert view.changes(0.2) == []
    assert view.changes(5.0) == [("a1-1", "silent", 5.0)]
    assert view.changes(6.0) == []


OBSERVATIONS = st.lists(
    st.builds(
        HeartbeatObservation,
        st.builds(
            DigestRow,
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
def test_order_and_repetition_of_observations_do_not_matter(
    observations: list[HeartbeatObservation], shuffle_rng: Random
) -> None:
    """The newest incarnation wins, with its latest state and newest heartbeat."""
    reordered = observations + observations[: len(observations) // 2]
    shuffle_rng.shuffle(reordered)
    found = []
    for sequence in (observations, reordered):
        view = entry_view()
        view.update_member(member("a1-1"), 0.0)
        for observation in sequence:
            view.record_heartbeat(observation, 1.0)
        found.append(view.newest_heartbeats("a1"))
    assert found[0] == found[1]
    newest = max(s.row.incarnation for s in observations)
    of_newest = [s for s in observations if s.row.incarnation == newest]
    row = DigestRow(member_id("a1-1"), newest, max(s.row.state for s in of_newest))
    assert found[0] == [HeartbeatObservation(row, max(s.at for s in of_newest))]


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 4), max_size=12))
def test_an_old_incarnation_never_replaces_one_that_sends_heartbeats(
    incarnations: list[int],
) -> None:
    view = entry_view()
    now = 0.0
    for incarnation in incarnations:
        now += 0.2
        deliver_heartbeat(view, "a1-1", now, incarnation=5)
        deliver_heartbeat(view, "a1-1", now, LEAVING, incarnation=incarnation)
        assert "f/a1-1" in view.selector.select_addresses("a", "a1", SERVING, now)


def test_entry_that_returns_in_another_domain_leaves_its_former_one() -> None:
    """Forgetting it raised KeyError, which ended the sweep of expired state."""
    membership = Membership(member("a1-0"))
    membership.update_member(member("a2-0"), 10.0)
    moved = msgspec.structs.replace(
        member("a2-0", incarnation=2), domain="b1", region="b", link_mbps=1_000
    )
    membership.update_member(moved, 11.0)
    assert membership.count_in_domain("a2") == 0
    assert membership.count_in_domain("b1") == 1
    assert membership.domains("a") == ["a1"]
    record = membership.record("a2-0")
    assert record is not None
    assert record.link_sort_key == link_sort_key(moved)
    membership.forget(11.0 + 2 * RECORD_TTL_S)
    assert membership.count == 1
    assert membership.other_regions() == []


def test_silent_entry_is_kept_while_it_is_registered() -> None:
    """An isolated entry that forgets the others divides every limit by one entry."""
    own, other = member("a1-0"), member("a2-0")
    membership = Membership(own)
    membership.add_registered({"key": pack(other)}, 10.0)
    membership.forget(10.0 + 10 * RECORD_TTL_S)
    assert membership.count == 2
    membership.add_registered({}, 10.0 + 10 * RECORD_TTL_S)
    membership.forget(10.0 + 10 * RECORD_TTL_S)
    assert membership.count == 1
