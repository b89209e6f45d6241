# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which entries are known, named to clients, and followers of the store."""

from random import Random

import msgspec

from leverdoor.codec import pack
from leverdoor.entry.membership import (
    FAR_PARTNERS,
    LEAVING,
    NEAR_PARTNERS,
    OLD_LIFE_S,
    SERVING,
    SILENCE_S,
    STARTING,
    Heartbeat,
    Member,
    Membership,
)


def member(name: str, incarnation: int = 1) -> Member:
    """`a1-0` is an entry of domain a1 in region a."""
    domain = name.split("-")[0]
    return Member(
        name, domain[0], domain, f"f/{name}", f"g/{name}", f"p/{name}", incarnation
    )


def heartbeat(
    name: str, seq: int = 1, state: int = SERVING, incarnation: int = 1
) -> Heartbeat:
    return Heartbeat(member(name, incarnation), seq, state, 1)


def membership(own: str = "a1-0") -> Membership:
    return Membership(member(own), Random(own))


def test_entries_are_found_in_the_store_and_named_once_heard() -> None:
    r = membership()
    r.found({"x": pack(member("a1-1")), "bad": b"\xff"}, 0.0)
    assert r.everyone() == ["g/a1-1"]
    assert r.addresses("a", "a1", SERVING, 0.0) == ["f/a1-0"]
    r.hear(heartbeat("a1-1"), 0.1)
    assert r.addresses("a", "a1", SERVING, 0.2) == ["f/a1-0", "f/a1-1"]


def test_a_silent_entry_is_not_named() -> None:
    r = membership()
    r.hear(heartbeat("a1-1"), 0.0)
    late = SILENCE_S + 0.1
    assert r.addresses("a", "a1", SERVING, late) == ["f/a1-0"]


def test_a_leaving_or_starting_entry_is_not_named() -> None:
    r = membership()
    r.hear(heartbeat("a1-1", state=LEAVING), 0.0)
    r.hear(heartbeat("a1-2", state=STARTING), 0.0)
    assert r.addresses("a", "a1", SERVING, 0.0) == ["f/a1-0"]
    assert r.addresses("a", "a1", LEAVING, 0.0) == ["f/a1-0"]
    r.hear(heartbeat("a1-3"), 0.0)
    assert r.addresses("a", "a1", LEAVING, 0.0) == ["f/a1-3"]


def test_an_old_life_says_nothing_about_a_new_one() -> None:
    r = membership()
    r.hear(heartbeat("a1-1", 5, incarnation=2), 0.0)
    assert not r.hear(heartbeat("a1-1", 9, LEAVING, incarnation=1), 0.1)
    assert not r.hear(heartbeat("a1-1", 5, LEAVING, incarnation=2), 0.1)
    assert r.addresses("a", "a1", SERVING, 0.1) == ["f/a1-0", "f/a1-1"]


def test_an_entry_whose_clock_was_set_back_is_heard_again() -> None:
    """Its new life has the lower incarnation; the old one speaks no more."""
    r = membership()
    r.hear(heartbeat("a1-1", seq=40, incarnation=9), 0.0)
    assert not r.hear(heartbeat("a1-1", seq=1, incarnation=3), 0.2)
    r.hear(heartbeat("a1-1", seq=8, incarnation=3), OLD_LIFE_S + 0.1)
    now = OLD_LIFE_S + 0.2
    assert r.addresses("a", "a1", SERVING, now) == ["f/a1-0", "f/a1-1"]
    r.found({"x": pack(member("a1-1", 9))}, now)
    assert r.addresses("a", "a1", SERVING, now + 0.2) == ["f/a1-0", "f/a1-1"]


def test_a_domain_with_one_entry_is_helped_by_its_region() -> None:
    r = membership()
    for name in ("a2-0", "a2-1", "b1-0"):
        r.hear(heartbeat(name), 0.0)
    assert r.addresses("a", "a1", SERVING, 0.0) == ["f/a1-0", "f/a2-0", "f/a2-1"]
    assert r.addresses("a", "a2", SERVING, 0.0) == ["f/a2-0", "f/a2-1"]


def test_another_region_is_named_only_when_the_clients_has_none() -> None:
    r = membership()
    r.hear(heartbeat("b1-0"), 0.0)
    assert r.addresses("b", "b1", SERVING, 0.0) == ["f/b1-0"]
    assert r.addresses("b", "b1", SERVING, 9.0) == ["f/a1-0"]


def test_followers_are_few_and_replaced() -> None:
    names = [f"a1-{i}" for i in range(5)]
    rosters = {n: membership(n) for n in names}
    for r in rosters.values():
        for n in names:
            r.hear(heartbeat(n), 0.0)
    elected = [n for n, r in rosters.items() if r.elected(2, 0.0)]
    assert len(elected) == 2
    for n, r in rosters.items():
        for other in names:
            if other not in elected and other != n:
                r.hear(heartbeat(other, 2), 5.0)
    again = [n for n, r in rosters.items() if n not in elected and r.elected(2, 5.0)]
    assert len(again) == 2


def test_a_lone_entry_follows_the_store() -> None:
    assert membership().elected(2, 0.0)


def wide_beat(name: str, revision: int, link_mbps: int) -> Heartbeat:
    wide = msgspec.structs.replace(member(name), link_mbps=link_mbps)
    return Heartbeat(wide, 1, SERVING, revision)


def test_a_newer_state_is_fetched_from_a_wide_link_that_has_it() -> None:
    r = membership()
    told = wide_beat("a1-1", 9, 10)
    r.hear(told, 0.0)
    assert r.source(told, 0.0).name == "a1-1"
    r.hear(wide_beat("a1-2", 8, 200), 0.0)
    assert r.source(told, 0.0).name == "a1-1"
    r.hear(wide_beat("a1-3", 9, 200), 0.0)
    r.hear(wide_beat("b1-0", 9, 500), 0.0)
    assert r.source(told, 0.0).name == "a1-3"


def test_followers_have_the_widest_links() -> None:
    rosters = [membership(f"a1-{i}") for i in range(6)]
    links = [10, 200, 10, 200, 200, 10]
    for r, link_mbps in zip(rosters, links, strict=True):
        r.own = msgspec.structs.replace(r.own, link_mbps=link_mbps)
        for i, other_mbps in enumerate(links):
            r.hear(wide_beat(f"a1-{i}", 1, other_mbps), 0.0)
    chosen = [r.own.link_mbps for r in rosters if r.elected(2, 0.0)]
    assert chosen == [200, 200]


def test_a_large_region_is_told_to_few() -> None:
    r = membership()
    for i in range(1, 40):
        r.hear(heartbeat(f"a1-{i}"), 0.0)
        r.hear(heartbeat(f"b1-{i}"), 0.0)
    partners = r.partners()
    assert len(partners) == NEAR_PARTNERS + FAR_PARTNERS
    assert sum(p.startswith("g/b") for p in partners) == 2


def test_who_is_found_and_lost_is_told_once() -> None:
    r = membership()
    r.hear(heartbeat("a1-1"), 0.0)
    assert r.changes(0.1) == [("a1-1", "heard", 0.0)]
    assert r.changes(0.2) == []
    assert r.changes(5.0) == [("a1-1", "silent", 5.0)]
    assert r.changes(6.0) == []


def test_all_of_a_large_region_are_told_in_turn() -> None:
    r = membership()
    names = {f"a1-{i}" for i in range(1, 26)}
    for name in names:
        r.hear(heartbeat(name), 0.0)
    told = {p for _ in range(7) for p in r.partners()}
    assert told == {f"g/{n}" for n in names}


def test_news_reach_a_large_region_in_a_few_steps() -> None:
    names = [f"a1-{i}" for i in range(100)]
    rosters = {f"g/{n}": membership(n) for n in names}
    for r in rosters.values():
        for n in names:
            r.hear(heartbeat(n), 0.0)
    told = newly = {"g/a1-0"}
    steps = 0
    while newly:
        heard = {p for one in sorted(newly) for p in rosters[one].some()}
        newly = heard - told
        told = told | heard
        steps += 1
    assert len(told) >= 97
    assert steps <= 7
