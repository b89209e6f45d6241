# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Heartbeats, digests and announcements among entries."""

from collections.abc import Mapping
from random import Random

import msgspec

from leverdoor.entry.configuration.confirmation import NO_ANSWER
from leverdoor.entry.exchange.exchange import Exchange
from leverdoor.entry.exchange.exchange_types import (
    EntryStatus,
    OutgoingMessage,
    PeerUpdate,
)
from leverdoor.entry.exchange.messages import (
    Digest,
    DigestScope,
    EntryHeartbeat,
    RevisionAnnouncement,
)
from leverdoor.entry.membership.entry_selection import EntrySelector
from leverdoor.entry.membership.liveness import HEARTBEAT_INTERVAL_S
from leverdoor.entry.membership.member import LEAVING, SERVING, Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.roles import Roles
from leverdoor.entry.placement.speed_estimate import LIFETIME_S, TargetSpeed
from leverdoor.model.position import START, position_without_era

TARGETS = {"a": ["ta1", "ta2"], "b": ["tb1"]}

IN_FORCE = position_without_era(1)


class FakeCluster:
    """Exchanges of several entries with immediate delivery, on a fake clock."""

    def __init__(self, names: list[str], fast_link_mbps: int = 200) -> None:
        self.now = 100.0
        self.statuses: dict[str, EntryStatus] = {}
        self.exchanges: dict[str, Exchange] = {}
        self.selectors: dict[str, EntrySelector] = {}
        self.updates: dict[str, PeerUpdate] = {}
        self.sent: list[tuple[str, OutgoingMessage]] = []
        self.silent: set[str] = set()
        members = [
            _member(n, fast_link_mbps if n.endswith(("-0", "-1")) else 20)
            for n in names
        ]
        for member in members:
            membership = Membership(member)
            for other in members:
                membership.update_member(other, self.now)
            exchange = Exchange(membership, Roles(membership, Random(member.name)))
            exchange.target_count_codec.renew(TARGETS)
            self.exchanges[member.name] = exchange
            self.selectors[member.name] = EntrySelector(membership)
            self.statuses[member.name] = EntryStatus(SERVING, IN_FORCE, {}, {}, -1, [])

    def set_status(self, name: str, **fields: object) -> None:
        self.statuses[name] = msgspec.structs.replace(self.statuses[name], **fields)

    def round(self, rounds: int = 1) -> None:
        for _ in range(rounds):
            self.now += HEARTBEAT_INTERVAL_S
            for name, exchange in self.exchanges.items():
                if name not in self.silent:
                    outgoing, received = exchange.round(self.statuses[name], self.now)
                    self._record_update(name, received)
                    self.send(name, outgoing)

    def send(self, name: str, outgoing: list[OutgoingMessage]) -> None:
        for outgoing_message in outgoing:
            self.sent.append((name, outgoing_message))
            for address in outgoing_message.destinations:
                to = address.removeprefix("g/")
                if to not in self.silent:
                    in_force = self.statuses[to].position
                    received = self.exchanges[to].take(
                        outgoing_message.message, in_force, self.now
                    )
                    self._record_update(to, received)

    def _record_update(self, name: str, received: PeerUpdate) -> None:
        previous = self.updates.get(name, PeerUpdate())
        others = (
            previous.others_in_flight
            if received.others_in_flight is None
            else received.others_in_flight
        )
        warm = [*previous.warm_keys, *received.warm_keys]
        outage_ms = max(previous.outage_age_ms, received.outage_age_ms)
        source = received.source or previous.source
        self.updates[name] = PeerUpdate(
            others,
            warm,
            outage_ms,
            source,
            speeds=[*previous.speeds, *received.speeds],
        )

    def others_in_flight(self, name: str) -> Mapping[str, int]:
        return self.updates[name].others_in_flight or {}


def _member(name: str, link_mbps: int) -> Member:
    """Create a member; `a1-0` is an entry of domain a1 in region a."""
    domain = name.split("-")[0]
    return Member(
        name, domain[0], domain, f"f/{name}", f"g/{name}", f"p/{name}", 1, link_mbps
    )


def entry_names(domains: list[str], per_domain: int) -> list[str]:
    return [f"{d}-{i}" for d in domains for i in range(per_domain)]


def test_entries_learn_the_counts_of_all_others_without_their_own() -> None:
    cluster = FakeCluster(entry_names(["a1", "a2", "b1"], 6))
    for name in cluster.exchanges:
        cluster.set_status(name, in_flight={"ta1": 1, "tb1": 2})
    cluster.round(6)
    for name in cluster.exchanges:
        assert cluster.others_in_flight(name) == {"ta1": 17, "tb1": 34}, name


def test_slow_targets_are_known_in_the_region_with_their_age() -> None:
    """Other regions are not told; the age grows on the way, and nothing comes back."""
    cluster = FakeCluster(entry_names(["a1", "a2", "b1"], 6))
    cluster.set_status("a1-4", speeds=[TargetSpeed(7, 2.5, 0.1)])
    cluster.round()
    cluster.set_status("a1-4", speeds=[])
    cluster.round(8)
    for name in cluster.exchanges:
        told = cluster.updates[name].speeds
        if name.startswith("b1"):
            assert told == [], name
            continue
        assert {(s.target, s.slowness) for s in told} == {(7, 2.5)}, name
        ages = [s.age_s for s in told]
        assert min(ages) >= 0.1
        assert ages == sorted(ages)
        assert max(ages) <= LIFETIME_S + 0.02
    cluster.sent.clear()
    cluster.round()
    for _, sent in cluster.sent:
        if isinstance(sent.message, EntryHeartbeat | Digest):
            assert sent.message.speeds == b"", "expired"


def test_finished_requests_are_not_counted_after_a_second() -> None:
    cluster = FakeCluster(entry_names(["a1", "a2", "b1"], 6))
    for name in cluster.exchanges:
        cluster.set_status(name, in_flight={"ta1": 1})
    cluster.round(6)
    for name in cluster.exchanges:
        cluster.set_status(name, in_flight={})
    cluster.round(5)
    assert [cluster.others_in_flight(n) for n in cluster.exchanges] == [{}] * 18


def test_counts_of_a_failed_entry_expire() -> None:
    cluster = FakeCluster(entry_names(["a1", "a2"], 5))
    cluster.set_status("a1-4", in_flight={"ta1": 7})
    cluster.round(6)
    assert cluster.others_in_flight("a2-3") == {"ta1": 7}
    cluster.silent.add("a1-4")
    cluster.round(9)
    assert cluster.others_in_flight("a2-3") == {}


def test_counts_expire_at_an_entry_whose_target_lists_differ() -> None:
    """An entry with an outdated state cannot decode counts; its last ones expire."""
    cluster = FakeCluster(entry_names(["a1"], 6))
    cluster.set_status("a1-4", in_flight={"ta1": 7})
    cluster.round(6)
    assert cluster.others_in_flight("a1-3") == {"ta1": 7}
    cluster.exchanges["a1-3"].target_count_codec.renew({"a": ["other"], "b": ["other"]})
    for name in cluster.exchanges:
        if name != "a1-3":
            cluster.exchanges[name].target_count_codec.renew(
                {"a": ["ta1", "new"], "b": ["tb1", "new"]}
            )
    cluster.round(3)
    assert cluster.others_in_flight("a1-3") == {"ta1": 7}, (
        "counts are retained while a change propagates"
    )
    cluster.round(12)
    assert cluster.others_in_flight("a1-3") == {}


def test_an_aggregator_retains_counts_while_target_lists_differ() -> None:
    """Otherwise the load of a region would appear as zero during a change."""
    cluster = FakeCluster(entry_names(["a1", "a2"], 4))
    cluster.set_status("a2-3", in_flight={"ta1": 7})
    cluster.round(6)
    assert cluster.others_in_flight("a1-0") == {"ta1": 7}
    for name in cluster.exchanges:
        if name.startswith("a2"):
            cluster.exchanges[name].target_count_codec.renew(
                {"a": ["ta1", "new"], "b": ["tb1", "new"]}
            )
    cluster.round(4)
    assert cluster.others_in_flight("a1-0") == {"ta1": 7}
    cluster.round(12)
    assert cluster.others_in_flight("a1-0") == {}


def test_an_ordinary_entry_sends_only_to_the_two_aggregators() -> None:
    cluster = FakeCluster(entry_names(["a1", "a2", "b1"], 20))
    cluster.round(5)
    cluster.sent.clear()
    cluster.round()
    by_name = [x for n, x in cluster.sent if n == "a1-7"]
    assert [len(x.destinations) for x in by_name] == [2]
    assert set(by_name[0].destinations) == {"g/a1-0", "g/a1-1"}


def test_every_entry_of_a_domain_receives_a_digest_within_two_rounds() -> None:
    cluster = FakeCluster(entry_names(["a1", "a2"], 15))
    cluster.round(5)
    cluster.sent.clear()
    cluster.round(2)
    recipients = {to for _, x in cluster.sent if _is_total(x) for to in x.destinations}
    assert recipients >= {f"g/a1-{i}" for i in range(15)}


def _is_total(outgoing_message: OutgoingMessage) -> bool:
    message = outgoing_message.message
    return isinstance(message, Digest) and message.scope is DigestScope.ALL


def test_every_entry_sees_all_others_as_live_after_a_few_rounds() -> None:
    cluster = FakeCluster(entry_names(["a1", "a2", "b1", "b2"], 10))
    cluster.round(8)
    for exchange in cluster.exchanges.values():
        assert len(exchange._membership.live(cluster.now)) == 39


def test_a_failed_aggregator_is_replaced_before_any_entry_counts_as_silent() -> None:
    """A failure of both aggregators must not make other entries count as silent."""
    cluster = FakeCluster(entry_names(["a1", "a2"], 10))
    cluster.round(8)
    cluster.silent.update({"a1-0", "a1-1"})
    for _ in range(15):
        cluster.round()
        for name in ("a1-5", "a2-5"):
            live = {
                m.name for m in cluster.exchanges[name]._membership.live(cluster.now)
            }
            expected = cluster.exchanges.keys() - cluster.silent - {name}
            assert live >= expected, (name, cluster.now)
    assert len(cluster.exchanges["a1-5"]._membership.live(cluster.now)) == 17


def test_both_sides_of_a_network_partition_reconnect() -> None:
    cluster = FakeCluster(entry_names(["a1", "b1"], 6))
    cluster.round(8)
    original_send = FakeCluster.send

    def send_within_region(name: str, outgoing: list[OutgoingMessage]) -> None:
        kept = [
            OutgoingMessage(
                x.message, [to for to in x.destinations if to[2] == name[0]]
            )
            for x in outgoing
        ]
        original_send(cluster, name, kept)

    cluster.send = send_within_region  # type: ignore[method-assign]
    cluster.round(30)
    assert len(cluster.exchanges["a1-5"]._membership.live(cluster.now)) == 5
    del cluster.send  # type: ignore[attr-defined]
    cluster.round(6)
    assert len(cluster.exchanges["a1-5"]._membership.live(cluster.now)) == 11


def test_a_leaving_entry_is_not_returned_by_look_ups_in_its_region() -> None:
    cluster = FakeCluster(entry_names(["a1", "a2"], 6))
    cluster.round(6)
    cluster.set_status("a1-4", state=LEAVING)
    cluster.send(
        "a1-4", cluster.exchanges["a1-4"].leave_messages(cluster.statuses["a1-4"])
    )
    for name in ("a1-0", "a1-5", "a2-5"):
        named = cluster.selectors[name].select_addresses(
            "a", "a1", SERVING, cluster.now
        )
        assert "f/a1-4" not in named
    cluster.round(6)
    for name in ("a1-0", "a1-5", "a2-5"):
        named = cluster.selectors[name].select_addresses(
            "a", "a1", SERVING, cluster.now
        )
        assert "f/a1-4" not in named


def test_an_out_of_order_heartbeat_is_ignored() -> None:
    cluster = FakeCluster(["a1-0", "a1-5"])
    sender = cluster.exchanges["a1-5"]
    status = msgspec.structs.replace(cluster.statuses["a1-5"], in_flight={"ta1": 4})
    early = sender.heartbeat(status)
    late = sender.heartbeat(msgspec.structs.replace(status, in_flight={"ta1": 1}))
    for message in (late, early):
        cluster.exchanges["a1-0"].take(message, IN_FORCE, cluster.now)
    cluster.round()
    assert cluster.others_in_flight("a1-0") == {"ta1": 1}
    assert isinstance(early, EntryHeartbeat)


def test_a_duplicate_digest_is_ignored() -> None:
    cluster = FakeCluster(entry_names(["a1"], 4))
    cluster.round(4)
    digests = [
        x.message
        for _, x in cluster.sent
        if _is_total(x) and "g/a1-3" in x.destinations
    ]
    last = digests[-1]
    duplicate_update = cluster.exchanges["a1-3"].take(last, IN_FORCE, cluster.now)
    assert duplicate_update == PeerUpdate()


def test_an_announcement_reaches_a_large_site_in_five_hops() -> None:
    names = entry_names([f"{r}{d}" for r in "abc" for d in (1, 2, 3)], 22)
    cluster = FakeCluster(names)
    cluster.round(8)
    new_recipients, reached, hops = {"a1-0"}, {"a1-0"}, 0
    while new_recipients:
        hops += 1
        received: set[str] = set()
        for name in sorted(new_recipients):
            for outgoing_message in cluster.exchanges[name].announce_revision(
                position_without_era(9), NO_ANSWER, cluster.now
            ):
                assert isinstance(outgoing_message.message, RevisionAnnouncement)
                received |= {
                    to.removeprefix("g/") for to in outgoing_message.destinations
                }
        new_recipients = received - reached
        reached |= received
    assert reached == set(names)
    assert hops <= 5


def test_announcements_and_digests_of_a_newer_revision_name_its_source() -> None:
    cluster = FakeCluster(entry_names(["a1"], 4))
    cluster.round(4)
    received = cluster.exchanges["a1-3"].take(
        RevisionAnnouncement(5, "p/a1-0"), IN_FORCE, cluster.now
    )
    assert received.source == "p/a1-0"
    assert (
        cluster.exchanges["a1-3"]
        .take(RevisionAnnouncement(1, "p/a1-0"), IN_FORCE, cluster.now)
        .source
        == ""
    )
    cluster.set_status("a1-0", position=position_without_era(5))
    cluster.round(2)
    assert cluster.updates["a1-3"].source == "p/a1-0", (
        "the source must be the aggregator a1-0"
    )


def test_an_entry_without_peers_learns_a_source_of_the_state() -> None:
    """During an outage of the store, a new entry fetches the state from others."""
    cluster = FakeCluster(entry_names(["a1"], 4))
    cluster.round(4)
    digest = next(x.message for _, x in reversed(cluster.sent) if _is_total(x))
    known = Membership(_member("a1-9", 20))
    alone = Exchange(known, Roles(known, Random(1)))
    assert alone.take(digest, START, cluster.now).source.startswith("p/a1-")


def test_warm_keys_reach_the_whole_region_and_no_other() -> None:
    cluster = FakeCluster(entry_names(["a1", "a2", "b1"], 5))
    cluster.round(6)
    cluster.updates.clear()
    cluster.set_status("a1-4", warm_keys=[77])
    cluster.round(2)
    cluster.set_status("a1-4", warm_keys=[])
    cluster.round(4)
    receivers = {n for n in cluster.exchanges if 77 in cluster.updates[n].warm_keys}
    assert receivers >= {n for n in cluster.exchanges if n[0] == "a" and n != "a1-4"}
    assert not any(n[0] == "b" for n in receivers)


def test_shares_are_the_mean_over_the_regions_entries() -> None:
    cluster = FakeCluster(entry_names(["a1", "a2"], 4))
    for i, name in enumerate(cluster.exchanges):
        share = 1.0 if i % 2 else 0.5
        cluster.set_status(name, shares={"s": {"a": share, "b": 1.0 - share}})
    cluster.round(16)
    for exchange in cluster.exchanges.values():
        mean = exchange.region_shares()["s"]
        assert abs(mean["a"] - 0.75) < 0.01


def test_an_outage_of_the_store_is_forwarded() -> None:
    cluster = FakeCluster(entry_names(["a1", "a2"], 4))
    cluster.round(4)
    cluster.set_status("a1-0", outage_age_ms=1_500)
    cluster.round(2)
    assert cluster.updates["a1-3"].outage_age_ms == 1_500
    assert cluster.updates["a2-0"].outage_age_ms == 1_500
