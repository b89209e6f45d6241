# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What run times show of caches: warm and cold runs, targets that forget."""

from desk import target
from leverdoor.entry.placement.cold_run_rates import RANKS, ColdRunRates
from leverdoor.entry.placement.run_times import RunTimeClusters
from leverdoor.entry.placement.warm_key_digests import (
    MAX_SENT_DIGESTS,
    WARM_KEY_TTL_S,
    WarmKeyDigests,
)


def test_times_fall_into_two_clusters_whatever_was_expected() -> None:
    times = RunTimeClusters(warm_run_ms=200.0, cold_run_ms=650.0)
    for turn in range(400):
        times.learn(90.0 if turn % 4 else 320.0)
    assert 85 < times.warm_run_ms < 95
    assert 300 < times.cold_run_ms < 340
    assert times.is_cold(250.0)
    assert not times.is_cold(120.0)


def test_one_cluster_alone_moves_the_other_with_it() -> None:
    times = RunTimeClusters(warm_run_ms=200.0, cold_run_ms=650.0)
    for _ in range(400):
        times.learn(300.0)
    assert 290 < times.warm_run_ms < 310
    assert times.cold_run_ms > 1.4 * times.warm_run_ms


def test_first_choices_pass_for_warm_and_others_for_cold_until_seen() -> None:
    book = ColdRunRates()
    one = target("t")
    assert book.cold_share(one, 0, seen=False) == 0.0
    assert book.cold_share(one, 1, seen=False) == 1.0
    assert book.cold_share(one, 1, seen=True) == 0.0


def test_the_share_of_cold_runs_follows_what_runs_show() -> None:
    book = ColdRunRates()
    one = target("t")
    for _ in range(40):
        book.record(one, 0, seen=False, cold=True)
        book.record(one, 1, seen=False, cold=False)
    assert book.cold_share(one, 0, seen=False) > 0.9
    assert book.cold_share(one, 1, seen=False) < 0.1
    assert book.cold_share(one, RANKS + 3, seen=False) == 1.0


def test_a_target_that_runs_known_keys_cold_forgets() -> None:
    book = ColdRunRates()
    one, other = target("t"), target("u")
    for _ in range(20):
        book.record(one, 0, seen=True, cold=True)
        book.record(other, 0, seen=True, cold=False)
    assert book.evicts_keys(one)
    assert not book.evicts_keys(other)
    book.keep_only({"u"})
    assert not book.evicts_keys(one)


def test_what_one_entry_had_answered_is_warm_for_the_others() -> None:
    mine, other = WarmKeyDigests(), WarmKeyDigests()
    one = target("t")
    mine.record_answer(one, "k", 10.0)
    other.receive(mine.recent(0.4, 10.2), 10.2)
    assert other.is_warm(one, "k", since=0.0, now=11.0)
    assert not other.is_warm(one, "another", since=0.0, now=11.0)
    assert not other.is_warm(one, "k", since=10.5, now=11.0), "it was emptied since"
    assert not other.is_warm(one, "k", since=0.0, now=11.0 + WARM_KEY_TTL_S)


def test_an_answer_is_told_for_a_while_and_again_much_later() -> None:
    mine = WarmKeyDigests()
    one = target("t")
    for at in (10.0, 10.1, 10.2):
        mine.record_answer(one, "k", at)
    assert len(mine.recent(0.4, 10.3)) == 1
    assert mine.recent(0.4, 11.0) == []
    mine.record_answer(one, "k", 18.0)
    assert len(mine.recent(0.4, 18.1)) == 1


def test_a_heartbeat_tells_a_bounded_number() -> None:
    mine = WarmKeyDigests()
    for i in range(500):
        mine.record_answer(target("t"), f"k{i}", 10.0)
    assert len(mine.recent(1.0, 10.0)) == MAX_SENT_DIGESTS
