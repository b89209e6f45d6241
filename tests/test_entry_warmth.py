# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Learning of warm and cold runs, and exchange of warm keys."""

from desk import target
from leverdoor.entry.placement.cold_run_rates import RANKS, ColdRunRates
from leverdoor.entry.placement.run_times import RunTimeClusters
from leverdoor.entry.placement.warm_key_digests import (
    MAX_SENT_DIGESTS,
    WARM_KEY_TTL_S,
    WarmKeyDigests,
)


def test_two_clusters_of_run_times_are_learned_from_wrong_initial_values() -> None:
    times = RunTimeClusters(warm_run_ms=200.0, cold_run_ms=650.0)
    for run in range(400):
        times.learn(90.0 if run % 4 else 320.0)
    assert 85 < times.warm_run_ms < 95
    assert 300 < times.cold_run_ms < 340
    assert times.is_cold(250.0)
    assert not times.is_cold(120.0)


def test_a_single_cluster_keeps_the_cold_mean_above_the_warm_mean() -> None:
    times = RunTimeClusters(warm_run_ms=200.0, cold_run_ms=650.0)
    for _ in range(400):
        times.learn(300.0)
    assert 290 < times.warm_run_ms < 310
    assert times.cold_run_ms > 1.4 * times.warm_run_ms


def test_only_the_first_rank_counts_as_warm_before_any_answer() -> None:
    rates = ColdRunRates()
    one = target("t")
    assert rates.cold_run_probability(one, 0, seen=False) == 0.0
    assert rates.cold_run_probability(one, 1, seen=False) == 1.0
    assert rates.cold_run_probability(one, 1, seen=True) == 0.0


def test_the_cold_rate_of_a_rank_follows_the_observed_runs() -> None:
    rates = ColdRunRates()
    one = target("t")
    for _ in range(40):
        rates.record(one, 0, seen=False, cold=True)
        rates.record(one, 1, seen=False, cold=False)
    assert rates.cold_run_probability(one, 0, seen=False) > 0.9
    assert rates.cold_run_probability(one, 1, seen=False) < 0.1
    assert rates.cold_run_probability(one, RANKS + 3, seen=False) == 1.0


def test_a_target_that_runs_known_keys_cold_counts_as_evicting_keys() -> None:
    rates = ColdRunRates()
    one, other = target("t"), target("u")
    for _ in range(20):
        rates.record(one, 0, seen=True, cold=True)
        rates.record(other, 0, seen=True, cold=False)
    assert rates.evicts_keys(one)
    assert not rates.evicts_keys(other)
    rates.keep_only({"u"})
    assert not rates.evicts_keys(one)


def test_a_key_answered_for_one_entry_is_warm_for_the_others() -> None:
    own, other = WarmKeyDigests(), WarmKeyDigests()
    one = target("t")
    own.record_answer(one, "k", 10.0)
    other.receive(own.queued_within(0.4, 10.2), 10.2)
    assert other.is_warm(one, "k", since=0.0, now=11.0)
    assert not other.is_warm(one, "another", since=0.0, now=11.0)
    assert not other.is_warm(one, "k", since=10.5, now=11.0), "cache emptied later"
    assert not other.is_warm(one, "k", since=0.0, now=11.0 + WARM_KEY_TTL_S)


def test_a_digest_is_sent_for_a_limited_time_and_resent_much_later() -> None:
    own = WarmKeyDigests()
    one = target("t")
    for at in (10.0, 10.1, 10.2):
        own.record_answer(one, "k", at)
    assert len(own.queued_within(0.4, 10.3)) == 1
    assert own.queued_within(0.4, 11.0) == []
    own.record_answer(one, "k", 18.0)
    assert len(own.queued_within(0.4, 18.1)) == 1


def test_a_heartbeat_carries_a_limited_number_of_digests() -> None:
    own = WarmKeyDigests()
    for i in range(500):
        own.record_answer(target("t"), f"k{i}", 10.0)
    assert len(own.queued_within(1.0, 10.0)) == MAX_SENT_DIGESTS
