# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What entries tell each other, and what each learns from it."""

from collections.abc import Mapping
from random import Random

import msgspec

from leverdoor.entry.configuration.confirmation import NO_ANSWER
from leverdoor.entry.exchange.exchange import Exchange
from leverdoor.entry.exchange.exchange_types import EntryStatus, PeerUpdate, Sending
from leverdoor.entry.exchange.messages import Digest, DigestScope, EntryHeartbeat, News
from leverdoor.entry.membership.entry_selection import EntrySelector
from leverdoor.entry.membership.liveness import HEARTBEAT_INTERVAL_S
from leverdoor.entry.membership.member import LEAVING, SERVING, Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.roles import Roles

TARGETS = {"a": ["ta1", "ta2"], "b": ["tb1"]}


class Entries:
    """Exchanges that hear each other at once, on a fake clock."""

    def __init__(self, names: list[str], wide: int = 200) -> None:
        self.now = 100.0
        self.reports: dict[str, EntryStatus] = {}
        self.exchanges: dict[str, Exchange] = {}
        self.selectors: dict[str, EntrySelector] = {}
        self.heard: dict[str, PeerUpdate] = {}
        self.sent: list[tuple[str, Sending]] = []
        self.silent: set[str] = set()
        members = [_member(n, wide if n.endswith(("-0", "-1")) else 20) for n in names]
        for own in members:
            membership = Membership(own)
            for other in members:
                membership.update_member(other, self.now)
            exchange = Exchange(membership, Roles(membership, Random(own.name)))
            exchange.lists.renew(TARGETS)
            self.exchanges[own.name] = exchange
            self.selectors[own.name] = EntrySelector(membership)
            self.reports[own.name] = EntryStatus(SERVING, 1, {}, {}, -1, [])

    def report(self, name: str, **fields: object) -> None:
        self.reports[name] = msgspec.structs.replace(self.reports[name], **fields)

    def round(self, rounds: int = 1) -> None:
        for _ in range(rounds):
            self.now += HEARTBEAT_INTERVAL_S
            for name, exchange in self.exchanges.items():
                if name not in self.silent:
                    sendings, heard = exchange.round(self.reports[name], self.now)
                    self._note(name, heard)
                    self.send(name, sendings)

    def send(self, name: str, sendings: list[Sending]) -> None:
        for sending in sendings:
            self.sent.append((name, sending))
            for address in sending.to:
                to = address.removeprefix("g/")
                if to not in self.silent:
                    revision = self.reports[to].revision
                    heard = self.exchanges[to].take(sending.message, revision, self.now)
                    self._note(to, heard)

    def _note(self, name: str, heard: PeerUpdate) -> None:
        before = self.heard.get(name, PeerUpdate())
        others = before.others if heard.others is None else heard.others
        warm = [*before.warm, *heard.warm]
        outage_ms = max(before.outage_ms, heard.outage_ms)
        source = heard.source or before.source
        self.heard[name] = PeerUpdate(others, warm, outage_ms, source)

    def others(self, name: str) -> Mapping[str, int]:
        return self.heard[name].others or {}


def _member(name: str, link_mbps: int) -> Member:
    """`a1-0` is an entry of domain a1 in region a."""
    domain = name.split("-")[0]
    return Member(
        name, domain[0], domain, f"f/{name}", f"g/{name}", f"p/{name}", 1, link_mbps
    )


def site(domains: list[str], entries: int) -> list[str]:
    return [f"{d}-{i}" for d in domains for i in range(entries)]


def test_every_entry_learns_what_all_others_have_and_not_its_own() -> None:
    s = Entries(site(["a1", "a2", "b1"], 6))
    for name in s.exchanges:
        s.report(name, in_flight={"ta1": 1, "tb1": 2})
    s.round(6)
    for name in s.exchanges:
        assert s.others(name) == {"ta1": 17, "tb1": 34}, name


def test_requests_that_ended_are_counted_no_more_a_second_later() -> None:
    s = Entries(site(["a1", "a2", "b1"], 6))
    for name in s.exchanges:
        s.report(name, in_flight={"ta1": 1})
    s.round(6)
    for name in s.exchanges:
        s.report(name, in_flight={})
    s.round(5)
    assert [s.others(n) for n in s.exchanges] == [{}] * 18


def test_what_an_entry_that_died_had_is_forgotten() -> None:
    s = Entries(site(["a1", "a2"], 5))
    s.report("a1-4", in_flight={"ta1": 7})
    s.round(6)
    assert s.others("a2-3") == {"ta1": 7}
    s.silent.add("a1-4")
    s.round(9)
    assert s.others("a2-3") == {}


def test_counts_are_not_kept_for_long_while_lists_of_targets_differ() -> None:
    """An entry whose state lags understands no digest; what it knew grows old."""
    s = Entries(site(["a1"], 6))
    s.report("a1-4", in_flight={"ta1": 7})
    s.round(6)
    assert s.others("a1-3") == {"ta1": 7}
    s.exchanges["a1-3"].lists.renew({"a": ["other"], "b": ["other"]})
    for name in s.exchanges:
        if name != "a1-3":
            s.exchanges[name].lists.renew({"a": ["ta1", "new"], "b": ["tb1", "new"]})
    s.round(3)
    assert s.others("a1-3") == {"ta1": 7}, "a change takes a moment to reach all"
    s.round(12)
    assert s.others("a1-3") == {}


def test_an_aggregator_keeps_counts_while_lists_of_targets_differ() -> None:
    """For a moment; without, the load of a region would pass for none at a change."""
    s = Entries(site(["a1", "a2"], 4))
    s.report("a2-3", in_flight={"ta1": 7})
    s.round(6)
    assert s.others("a1-0") == {"ta1": 7}
    for name in s.exchanges:
        if name.startswith("a2"):
            s.exchanges[name].lists.renew({"a": ["ta1", "new"], "b": ["tb1", "new"]})
    s.round(4)
    assert s.others("a1-0") == {"ta1": 7}
    s.round(12)
    assert s.others("a1-0") == {}


def test_an_ordinary_entry_sends_to_the_two_aggregators_only() -> None:
    s = Entries(site(["a1", "a2", "b1"], 20))
    s.round(5)
    s.sent.clear()
    s.round()
    by_name = [x for n, x in s.sent if n == "a1-7"]
    assert [len(x.to) for x in by_name] == [2]
    assert set(by_name[0].to) == {"g/a1-0", "g/a1-1"}


def test_every_entry_of_a_domain_is_told_within_two_rounds() -> None:
    s = Entries(site(["a1", "a2"], 15))
    s.round(5)
    s.sent.clear()
    s.round(2)
    told = {to for _, x in s.sent if _is_total(x) for to in x.to}
    assert told >= {f"g/a1-{i}" for i in range(15)}


def _is_total(sending: Sending) -> bool:
    message = sending.message
    return isinstance(message, Digest) and message.scope is DigestScope.ALL


def test_all_entries_live_to_all_after_few_rounds() -> None:
    s = Entries(site(["a1", "a2", "b1", "b2"], 10))
    s.round(8)
    for exchange in s.exchanges.values():
        assert len(exchange._membership.live(s.now)) == 39


def test_an_aggregator_that_dies_is_replaced_before_any_entry_counts_as_silent() -> (
    None
):
    """The silence of one aggregator, or of both, must not pass for that of all."""
    s = Entries(site(["a1", "a2"], 10))
    s.round(8)
    s.silent.update({"a1-0", "a1-1"})
    for _ in range(15):
        s.round()
        for name in ("a1-5", "a2-5"):
            live = {m.name for m in s.exchanges[name]._membership.live(s.now)}
            living = s.exchanges.keys() - s.silent - {name}
            assert live >= living, (name, s.now)
    assert len(s.exchanges["a1-5"]._membership.live(s.now)) == 17


def test_both_sides_of_a_cut_hear_each_other_again() -> None:
    s = Entries(site(["a1", "b1"], 6))
    s.round(8)
    cut = Entries.send

    def only_within(name: str, sendings: list[Sending]) -> None:
        kept = [
            Sending(x.message, [to for to in x.to if to[2] == name[0]])
            for x in sendings
        ]
        cut(s, name, kept)

    s.send = only_within  # type: ignore[method-assign]
    s.round(30)
    assert len(s.exchanges["a1-5"]._membership.live(s.now)) == 5
    del s.send  # type: ignore[attr-defined]
    s.round(6)
    assert len(s.exchanges["a1-5"]._membership.live(s.now)) == 11


def test_an_entry_that_leaves_is_named_no_more_in_its_region_at_once() -> None:
    s = Entries(site(["a1", "a2"], 6))
    s.round(6)
    s.report("a1-4", state=LEAVING)
    s.send("a1-4", s.exchanges["a1-4"].announce_leave(s.reports["a1-4"]))
    for name in ("a1-0", "a1-5", "a2-5"):
        named = s.selectors[name].select_addresses("a", "a1", SERVING, s.now)
        assert "f/a1-4" not in named
    s.round(6)
    for name in ("a1-0", "a1-5", "a2-5"):
        named = s.selectors[name].select_addresses("a", "a1", SERVING, s.now)
        assert "f/a1-4" not in named


def test_an_overtaken_heartbeat_does_not_count() -> None:
    s = Entries(["a1-0", "a1-5"])
    own = s.exchanges["a1-5"]
    report = msgspec.structs.replace(s.reports["a1-5"], in_flight={"ta1": 4})
    early = own.heartbeat(report)
    late = own.heartbeat(msgspec.structs.replace(report, in_flight={"ta1": 1}))
    for message in (late, early):
        s.exchanges["a1-0"].take(message, 1, s.now)
    s.round()
    assert s.others("a1-0") == {"ta1": 1}
    assert isinstance(early, EntryHeartbeat)


def test_a_repeated_digest_does_not_count() -> None:
    s = Entries(site(["a1"], 4))
    s.round(4)
    told = [x.message for _, x in s.sent if _is_total(x) and "g/a1-3" in x.to]
    again = s.exchanges["a1-3"].take(told[-1], 1, s.now)
    assert again == PeerUpdate()


def test_news_reach_all_of_a_large_site_in_a_few_steps() -> None:
    names = site([f"{r}{d}" for r in "abc" for d in (1, 2, 3)], 22)
    s = Entries(names)
    s.round(8)
    newly, reached, steps = {"a1-0"}, {"a1-0"}, 0
    while newly:
        steps += 1
        heard: set[str] = set()
        for name in sorted(newly):
            for sending in s.exchanges[name].news(9, NO_ANSWER, s.now):
                assert isinstance(sending.message, News)
                heard |= {to.removeprefix("g/") for to in sending.to}
        newly = heard - reached
        reached |= heard
    assert reached == set(names)
    assert steps <= 5


def test_news_and_digests_of_a_newer_state_say_where_to_fetch_it() -> None:
    s = Entries(site(["a1"], 4))
    s.round(4)
    heard = s.exchanges["a1-3"].take(News(5, "p/a1-0"), 1, s.now)
    assert heard.source == "p/a1-0"
    assert s.exchanges["a1-3"].take(News(1, "p/a1-0"), 1, s.now).source == ""
    s.report("a1-0", revision=5)
    s.round(2)
    assert s.heard["a1-3"].source == "p/a1-0", "its aggregator, by a wide link"


def test_an_entry_that_knows_nobody_learns_where_the_state_is() -> None:
    """So one that starts while the store is away gets the state from the others."""
    s = Entries(site(["a1"], 4))
    s.round(4)
    digest = next(x.message for _, x in reversed(s.sent) if _is_total(x))
    known = Membership(_member("a1-9", 20))
    alone = Exchange(known, Roles(known, Random(1)))
    assert alone.take(digest, 0, s.now).source.startswith("p/a1-")


def test_warm_keys_are_told_to_the_whole_region_and_not_beyond() -> None:
    s = Entries(site(["a1", "a2", "b1"], 5))
    s.round(6)
    s.heard.clear()
    s.report("a1-4", warm=[77])
    s.round(2)
    s.report("a1-4", warm=[])
    s.round(4)
    knowing = {n for n in s.exchanges if 77 in s.heard[n].warm}
    assert knowing >= {n for n in s.exchanges if n[0] == "a" and n != "a1-4"}
    assert not any(n[0] == "b" for n in knowing)


def test_shares_are_the_mean_of_the_regions_entries() -> None:
    s = Entries(site(["a1", "a2"], 4))
    for i, name in enumerate(s.exchanges):
        share = 1.0 if i % 2 else 0.5
        s.report(name, shares={"s": {"a": share, "b": 1.0 - share}})
    s.round(16)
    for exchange in s.exchanges.values():
        mean = exchange.region_shares()["s"]
        assert abs(mean["a"] - 0.75) < 0.01


def test_an_outage_of_the_store_is_passed_on() -> None:
    s = Entries(site(["a1", "a2"], 4))
    s.round(4)
    s.report("a1-0", outage_ms=1_500)
    s.round(2)
    assert s.heard["a1-3"].outage_ms == 1_500
    assert s.heard["a2-0"].outage_ms == 1_500
