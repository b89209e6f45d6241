# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Encoding and merging of workspace usage."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from leverdoor.entry.exchange.usage_encoding import (
    MAX_UNFILTERED_PAIRS,
    UsageCodec,
    sum_usage,
)
from leverdoor.entry.exchange.usage_exchange import (
    UNKNOWN_USAGE_PARTS,
    UsageExchange,
)
from leverdoor.entry.exchange.usage_merging import (
    RegisteredGroups,
    UnreportedParts,
    UsageMerger,
    UsageReport,
)
from leverdoor.entry.membership.member import SERVING, DigestRow, Member, member_id
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import HeartbeatObservation
from leverdoor.workspaces.isolation import RESERVATION_S
from wire_samples import DIGEST, ENTRY_HEARTBEAT

NONE_UNREPORTED = UnreportedParts()
NAMES = [f"w{i}" for i in range(MAX_UNFILTERED_PAIRS + 50)]


def create_codec(names: list[str]) -> UsageCodec:
    codec = UsageCodec()
    codec.renew(dict.fromkeys(names, 100.0))
    return codec


@settings(derandomize=True, max_examples=100)
@given(st.dictionaries(st.sampled_from(NAMES[:20]), st.integers(1, 60_000)))
def test_serialized_usage_parses_to_the_same_usage(usage: dict[str, int]) -> None:
    sender, receiver = create_codec(NAMES[:20]), create_codec(NAMES[:20])
    assert receiver.parse(sender.serialize(usage)) == usage


def test_usage_for_an_unknown_list_is_discarded() -> None:
    data = create_codec(NAMES[:3]).serialize({"w1": 4})
    assert create_codec(NAMES[:2]).parse(data) is None
    assert create_codec(NAMES[:2]).parse(b"") == {}


def test_usage_for_a_recent_list_is_parsed() -> None:
    receiver = create_codec(NAMES[:3])
    data = create_codec(NAMES[:3]).serialize({"w1": 4})
    receiver.renew(dict.fromkeys(NAMES[:4], 100.0))
    assert receiver.parse(data) == {"w1": 4}


def test_usage_of_many_workspaces_omits_small_fractions_of_quotas() -> None:
    sender = create_codec(NAMES)
    usage = dict.fromkeys(NAMES, 1) | {"w7": 90}
    data = sender.serialize(usage, 20)
    assert sender.parse(data) == {"w7": 90}
    assert sender.parse_omission_fraction(data) == 0.2
    few = sender.serialize({"w1": 1}, 20)
    assert sender.parse(few) == {"w1": 1}
    assert sender.parse_omission_fraction(few) == 0.0


def test_sum_usage_adds_by_workspace() -> None:
    assert sum_usage({"a": 1}, {}, {"a": 2, "b": 3}) == {"a": 3, "b": 3}


def create_merger() -> UsageMerger:
    merger = UsageMerger()
    merger.planned = {"w": 100.0}
    return merger


def test_sums_cover_domain_region_and_all_entries() -> None:
    merger = create_merger()
    merger.record_entry("e1", UsageReport(10.0, {"w": 2}))
    merger.record_domain("d2", UsageReport(10.0, {"w": 3}, entries=4))
    merger.record_region("r2", UsageReport(10.0, {"w": 4}, entries=9))
    sums = merger.compute_sums({"w": 1}, NONE_UNREPORTED, 10.1)
    assert (sums.domain, sums.region, sums.total) == ({"w": 3}, {"w": 6}, {"w": 10})
    assert sums.silent == (0, 0, 0)


def test_part_of_a_quota_is_reserved_for_a_silent_entry() -> None:
    """A silent entry may serve behind a network partition.

    Its usage of 10 was part of a total of 25, so that it may grow by the factor 100 /
    25. Half of the result, 20, is reserved by usage; `silent` stands for the other
    half.
    """
    merger = create_merger()
    merger.record_entry("e1", UsageReport(10.0, {"w": 10}))
    assert merger.compute_sums({"w": 15}, NONE_UNREPORTED, 10.1).total == {"w": 25}
    later = merger.compute_sums({"w": 15}, NONE_UNREPORTED, 13.0)
    assert later.total == {"w": 15 + 20}
    assert later.silent == (1, 1, 1)
    merger.forget(10.0 + RESERVATION_S + 1)
    expired = merger.compute_sums({"w": 15}, NONE_UNREPORTED, 10.0 + RESERVATION_S + 1)
    assert (expired.total, expired.silent) == ({"w": 15}, (0, 0, 0))


def test_usage_above_a_reservation_counts_until_it_has_left_the_window() -> None:
    """The others used what a silent entry had used above its ceiling."""
    merger = create_merger()
    merger.record_entry("e1", UsageReport(10.0, {"w": 90}))
    assert merger.compute_sums({}, NONE_UNREPORTED, 10.1).total == {"w": 90}
    assert merger.compute_sums({}, NONE_UNREPORTED, 14.9).total == {"w": 90}
    later = merger.compute_sums({}, NONE_UNREPORTED, 15.1)
    assert later.total == {"w": 50}


def test_reservation_does_not_expire_while_the_entry_is_registered() -> None:
    """A partition may last longer than any fixed time, with both sides serving."""
    merger = create_merger()
    merger.registered = RegisteredGroups(entries={"e1"}, regions={"r2"})
    merger.record_entry("e1", UsageReport(10.0, {"w": 10}))
    merger.record_region("r2", UsageReport(10.0, {"w": 10}, entries=3))
    assert merger.compute_sums({}, NONE_UNREPORTED, 10.1).total == {"w": 20}
    later = 10.0 + 10 * RESERVATION_S
    merger.forget(later)
    sums = merger.compute_sums({}, NONE_UNREPORTED, later)
    assert (sums.total, sums.silent) == ({"w": 2 * 20}, (1, 1, 4))
    merger.registered = RegisteredGroups()
    merger.forget(later)
    ended = merger.compute_sums({}, NONE_UNREPORTED, later)
    assert (ended.total, ended.silent) == ({}, (0, 0, 0))


def test_usage_of_an_ended_incarnation_counts_for_a_window() -> None:
    merger = create_merger()
    merger.record_entry("e1", UsageReport(10.0, {"w": 10}, incarnation=1))
    merger.record_entry("e1", UsageReport(11.0, {"w": 1}, incarnation=2))
    assert merger.compute_sums({}, NONE_UNREPORTED, 11.0).total == {"w": 11}
    merger.record_entry("e1", UsageReport(16.0, {"w": 1}, incarnation=2))
    assert merger.compute_sums({}, NONE_UNREPORTED, 16.0).total == {"w": 1}


def test_nothing_is_reserved_for_an_entry_that_left() -> None:
    merger = create_merger()
    merger.record_entry("e1", UsageReport(10.0, {"w": 10}, is_leaving=True))
    assert merger.compute_sums({}, NONE_UNREPORTED, 12.0).total == {"w": 10}
    assert merger.compute_sums({}, NONE_UNREPORTED, 16.0).total == {}


def test_reports_of_all_domains_and_regions_must_be_fresh() -> None:
    merger = create_merger()
    assert not merger.has_fresh_reports({"d2"}, {"r2"}, 10.0)
    merger.record_domain("d2", UsageReport(10.0, {}))
    merger.record_region("r2", UsageReport(10.0, {}))
    assert merger.has_fresh_reports({"d2"}, {"r2"}, 10.2)
    assert not merger.has_fresh_reports({"d2"}, {"r2"}, 20.0)
    assert merger.age_s(10.5) == 0.5


def test_sums_of_a_failed_aggregator_count_for_a_window() -> None:
    """Guards against lost usage when both aggregators of a domain and other entries
    fail.

    A new aggregator is ignored while the complete report of 40 is fresh. Its usage
    counts together with the remainder of that report until `ENDED_USAGE_S` has passed.
    """
    merger = create_merger()
    merger.record_domain("d2", UsageReport(10.0, {"w": 40}))
    merger.record_domain("d2", UsageReport(10.2, {"w": 3}, merged_s=0.1))
    assert merger.compute_sums({}, NONE_UNREPORTED, 10.3).total == {"w": 40}
    merger.record_domain("d2", UsageReport(11.5, {"w": 3}, merged_s=0.4))
    assert merger.compute_sums({}, NONE_UNREPORTED, 11.6).total == {"w": 40}
    merger.record_domain("d2", UsageReport(14.9, {"w": 5}, merged_s=3.8))
    assert merger.compute_sums({}, NONE_UNREPORTED, 14.9).total == {"w": 42}
    merger.record_domain("d2", UsageReport(15.2, {"w": 5}, merged_s=4.1))
    assert merger.compute_sums({}, NONE_UNREPORTED, 15.3).total == {"w": 5}


def test_new_aggregator_reserves_quota_for_a_region_that_fell_silent_before() -> None:
    """Its entries may serve behind a partition, and will not report while it lasts."""
    own = create_member("own", "r1", "r1d1")
    membership = Membership(own)
    for number in range(3):
        silent = create_member(f"silent{number}", "r2", "r2d1")
        membership.update_member(silent, 10.0)
        row = DigestRow(member_id(silent.name), silent.incarnation, SERVING)
        membership.record_heartbeat(HeartbeatObservation(row, 10.0), 10.0)
    exchange = UsageExchange(membership)
    exchange.renew({"w": 100.0})
    assert exchange.merged_usage_of_others(uptime_s=30.0, now=11.0) is None
    near = create_member("near", "r1", "r1d1")
    heartbeat = msgspec.structs.replace(
        ENTRY_HEARTBEAT, member=near, use=exchange.serialize({})
    )
    exchange.record_heartbeat(heartbeat, 18.0)
    known = exchange.merged_usage_of_others(uptime_s=30.0, now=18.0)
    assert known is not None
    assert known.silent_count == 3 * UNKNOWN_USAGE_PARTS


def create_member(name: str, region: str, domain: str) -> Member:
    return Member(name, region, domain, f"{name}:1", f"{name}:2", f"{name}:3", 1, 100)


def test_sums_of_an_aggregator_without_all_reports_are_unusable() -> None:
    """They lack whole regions, so that receivers would admit their part as well."""
    exchange = UsageExchange(Membership(create_member("own", "r1", "r1d1")))
    exchange.renew({"w": 100.0})
    use = exchange.serialize({"w": 7})
    incomplete = msgspec.structs.replace(DIGEST, use=use, merged_ms=0)
    assert exchange.usage_of_others_from_digest(incomplete, {}) is None
    complete = msgspec.structs.replace(incomplete, merged_ms=200)
    known = exchange.usage_of_others_from_digest(complete, {})
    assert known is not None
    assert known.requests_by_workspace == {"w": 7}
