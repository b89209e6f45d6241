# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Targets that tell how long work takes there now, played through the real policy."""

import asyncio
import heapq
import json
import os
from collections import Counter, OrderedDict
from collections.abc import Callable
from functools import cache
from itertools import count
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from desk import ROUTE, SLOTS, PlacementHarness, target
from leverdoor.entry.events import Events
from leverdoor.entry.exchange.speed_encoding import parse_speeds, serialize_speeds
from leverdoor.entry.limits.limit_collector import LimitCollector
from leverdoor.entry.log_writer import LineWriter
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.placement.placement_request import Placement, PlacementRequest
from leverdoor.entry.placement.speed_estimate import (
    LIFETIME_S,
    MAX_SLOWNESS,
    TargetSpeed,
)
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.entry.requests.target_reports import TargetReportHandler
from leverdoor.entry.wire import TargetLoad, TargetReport
from leverdoor.errors import Rejection
from leverdoor.model.resources import Target
from leverdoor.platform.formats import parse_load
from leverdoor.platform.wire_format import wire

WARM_S, COLD_S = 0.2, 0.65
KEPT_KEYS = 12
TARGETS = 10
KEYS = 80
ENTRIES, MANY_ENTRIES = 12, 40
ROUND_S = 0.2
UTILIZATION = 0.3
"""Mean share of all slots that warm runs at usual speed keep busy."""
SEEDS = range(3)
WARM_UP_S = 5.0
PLAYED_S = 20.0

Figure = Callable[[float], str]
"""Returns the fourth figure of a target's load at a time, with its comma."""


def usual(_: float) -> str:
    """A target that reports three figures."""
    return ""


def garbled(_: float) -> str:
    """A target whose load can't be read; also what four figures were before."""
    return ",x"


class FakeTarget:
    """Runs requests in order in its slots, and reports its load with each answer."""

    def __init__(self, slowness: float, figure: Figure, others: int = 0) -> None:
        self.slowness = slowness
        self.figure = figure
        self.others = others
        """Requests of other callers that it always has."""
        self.free_at = [0.0] * max(SLOTS - others, 1)
        self.in_flight = 0
        self.keys: OrderedDict[str, None] = OrderedDict()

    def run(self, key: str, now: float) -> float:
        """Accept a request; return when it is answered."""
        work_s = WARM_S if key in self.keys else COLD_S
        self.keys[key] = None
        self.keys.move_to_end(key)
        if len(self.keys) > KEPT_KEYS:
            self.keys.popitem(last=False)
        queue_s = max(self.others - SLOTS, 0) * WARM_S / SLOTS
        began = max(heapq.heappop(self.free_at), now + queue_s)
        ended = began + work_s * self.slowness
        heapq.heappush(self.free_at, ended)
        self.in_flight += 1
        return ended

    def header(self, now: float) -> str:
        """Return the load that an answer carries, which counts that request."""
        load = self.in_flight + self.others
        waiting = max(load - SLOTS, 0)
        return f"{load - waiting},{waiting},{SLOTS}{self.figure(now)}"


class Sent(msgspec.Struct, frozen=True):
    """A request that a target runs."""

    entry: PlacementHarness
    request: PlacementRequest
    placement: Placement
    at: float


class Play:
    """Entries of a region, their targets, and callers that send requests at random."""

    def __init__(
        self,
        seed: int,
        fakes: list[FakeTarget],
        exchanges_speeds: bool = True,
        entries: int = ENTRIES,
    ) -> None:
        self.rng = Random(seed)
        self.targets = [target(f"{seed}-{i}") for i in range(len(fakes))]
        self.fakes = dict(zip((t.name for t in self.targets), fakes, strict=True))
        self.entries = [PlacementHarness(*self.targets) for _ in range(entries)]
        self.exchanges_speeds = exchanges_speeds
        self.now = self.entries[0].now
        self.counts: Counter[str] = Counter()
        self.refused = 0
        self.took_s: list[float] = []
        self._answers: list[tuple[float, int, Sent]] = []
        self._order = count()
        self._round_at = self.now

    def run(self, seconds: float, utilization: float = UTILIZATION) -> "Play":
        """Send requests for a time; return this play."""
        until = self.now + seconds
        per_s = utilization * len(self.targets) * SLOTS / WARM_S
        while self.now < until:
            next_at = self.now + self.rng.expovariate(per_s)
            while self._round_at <= next_at:
                self._answer_until(self._round_at)
                self._exchange(self._round_at)
                self._round_at += ROUND_S
            self._answer_until(next_at)
            self.now = next_at
            self._send(self.rng.choice(self.entries))
        return self

    def _send(self, entry: PlacementHarness) -> None:
        entry.now = self.now
        request = entry.new_request(f"k{self.rng.randrange(KEYS)}")
        placement = entry.placement.place(request, self.now)
        if isinstance(placement, Rejection):
            self.refused += 1
            return
        name = placement.target.name
        self.counts[name] += 1
        ended = self.fakes[name].run(request.key, self.now)
        sent = Sent(entry, request, placement, self.now)
        heapq.heappush(self._answers, (ended, next(self._order), sent))

    def _answer_until(self, until: float) -> None:
        while self._answers and self._answers[0][0] <= until:
            now, _, sent = heapq.heappop(self._answers)
            fake = self.fakes[sent.placement.target.name]
            load = parse_load(fake.header(now))
            fake.in_flight -= 1
            policy, placement = sent.entry.placement, sent.placement
            policy.take_report(placement.target, TargetReport(load=load), now)
            policy.ended(placement, now)
            took_ms = (now - sent.at) * 1000
            self.took_s.append(now - sent.at)
            policy.answered(sent.request, placement, took_ms, 100, now)

    def _exchange(self, now: float) -> None:
        """Deliver what all entries told ROUND_S before."""
        told = [
            (
                e.fleet.in_flight(),
                e.placement.warm_keys.queued_within(ROUND_S, now),
                parse_speeds(serialize_speeds(e.fleet.speeds.to_tell(now - ROUND_S))),
            )
            for e in self.entries
        ]
        total: Counter[str] = Counter()
        for counts, _, _ in told:
            total.update(counts)
        for entry in self.entries:
            entry.now = now
            entry.fleet.receive("others", total - Counter(entry.fleet.in_flight()), now)
            for _, warm_keys, speeds in told:
                entry.placement.warm_keys.receive(warm_keys, now)
                if self.exchanges_speeds:
                    entry.fleet.speeds.receive(_aged(speeds), now)

    def warmed_up(self, utilization: float = UTILIZATION) -> "Play":
        """Play until keys are warm, and count from then."""
        self.run(WARM_UP_S, utilization)
        self.counts.clear()
        self.took_s.clear()
        self.refused = 0
        return self

    def late(self) -> float:
        """Return the fraction of requests that exceeded the latency target."""
        late = sum(took_s * 1000 > ROUTE.target_latency_ms for took_s in self.took_s)
        return late / (len(self.took_s) + self.refused)

    def refusals(self) -> float:
        """Return the fraction of requests that were refused."""
        return self.refused / (len(self.took_s) + self.refused)

    def share(self, index: int = 0) -> float:
        """Return the requests of a target as a fraction of an even share."""
        mean = sum(self.counts.values()) / len(self.targets)
        return self.counts[self.targets[index].name] / mean


def _aged(speeds: list[TargetSpeed]) -> list[TargetSpeed]:
    """Return speeds as they are after ROUND_S."""
    return [msgspec.structs.replace(s, age_s=s.age_s + ROUND_S) for s in speeds]


def fixed(percent: int) -> Figure:
    return lambda _: f",{percent}"


class Result(msgspec.Struct, frozen=True):
    """Means over several plays."""

    share: float
    """Requests of the first target, as a fraction of an even share."""
    late: float
    """Fraction of requests that took longer than the latency target."""
    refused: float


def play(
    first: Callable[[], FakeTarget],
    exchanges_speeds: bool = True,
    entries: int = ENTRIES,
) -> Result:
    """Play a first target among usual ones."""
    share = late = refused = 0.0
    for seed in SEEDS:
        usual_ones = [FakeTarget(1.0, fixed(100)) for _ in range(TARGETS - 1)]
        found = Play(seed, [first(), *usual_ones], exchanges_speeds, entries)
        found.warmed_up().run(PLAYED_S)
        share += found.share() / len(SEEDS)
        late += found.late() / len(SEEDS)
        refused += found.refusals() / len(SEEDS)
    return Result(share, late, refused)


@cache
def sound() -> Result:
    """Play usual targets only."""
    return play(lambda: FakeTarget(1.0, fixed(100)))


@cache
def slow_and_silent(entries: int = ENTRIES) -> Result:
    """Play a slow target that does not say so."""
    return play(lambda: FakeTarget(2.5, garbled), entries=entries)


@pytest.mark.parametrize("entries", [ENTRIES, MANY_ENTRIES])
def test_a_slow_target_that_says_so_gets_less_of_the_keys_it_shares(
    entries: int,
) -> None:
    """It works 2.5 times as long; other targets have free slots."""
    says = play(lambda: FakeTarget(2.5, fixed(250)), entries=entries)
    silent = slow_and_silent(entries)
    assert says.share <= 0.7
    assert says.late < 0.7 * silent.late, "callers gain"
    assert says.refused <= silent.refused + 0.005


def test_entries_without_digests_learn_from_their_own_answers() -> None:
    alone = play(lambda: FakeTarget(2.5, fixed(250)), exchanges_speeds=False)
    silent = slow_and_silent()
    assert alone.share < silent.share
    assert alone.late < silent.late


@pytest.mark.parametrize("entries", [ENTRIES, MANY_ENTRIES])
def test_a_target_that_others_fill_gets_few_requests(entries: int) -> None:
    """Its load counts, although the report has four figures."""
    filled = play(lambda: FakeTarget(1.0, fixed(100), others=12), entries=entries)
    assert filled.share <= 0.35


def test_a_garbled_load_counts_as_none() -> None:
    """The target gets its share, as one that reports no load does."""
    found = play(lambda: FakeTarget(1.0, garbled))
    assert found == play(lambda: FakeTarget(1.0, lambda _: ",-1"))
    assert found.share >= 0.9


def test_a_figure_that_alternates_every_50_ms_counts_as_its_mean() -> None:
    """Runs take 2.5 times as long; an answer reports 100 or 400."""
    found = play(
        lambda: FakeTarget(2.5, lambda t: fixed(400 if t % 0.1 < 0.05 else 100)(t))
    )
    assert 0.2 <= found.share <= 0.7


@pytest.mark.parametrize("percent", [0, 99])
def test_figures_below_usual_attract_no_requests(percent: int) -> None:
    assert play(lambda: FakeTarget(1.0, fixed(percent))) == sound()


def test_a_stuck_figure_does_not_make_a_target_unusable() -> None:
    """It works as usual; its callers must not pay for the figure."""
    stuck = play(lambda: FakeTarget(1.0, fixed(10**6)))
    assert stuck.share >= 0.2
    assert stuck.late + stuck.refused <= sound().late + sound().refused + 0.01


def test_nobody_is_punished_if_all_targets_are_slow() -> None:
    """No target gains or loses keys, and no more callers are late or refused."""

    def all_slow(figure: Figure) -> list[Play]:
        fakes = [[FakeTarget(2.5, figure) for _ in range(TARGETS)] for _ in SEEDS]
        plays = [
            Play(seed, f).warmed_up(0.2) for seed, f in zip(SEEDS, fakes, strict=True)
        ]
        return [p.run(PLAYED_S, 0.2) for p in plays]

    for says, silent in zip(all_slow(fixed(250)), all_slow(garbled), strict=True):
        assert says.late() + says.refusals() <= silent.late() + silent.refusals()
        for i in range(TARGETS):
            assert says.share(i) >= 0.8 * silent.share(i)


@settings(derandomize=True, deadline=None, max_examples=10)
@given(st.integers(0, 1000), st.sampled_from([0.2, 0.6, 0.9]), st.integers(0, 100))
def test_three_figures_place_as_a_fourth_that_is_as_usual(
    seed: int, utilization: float, percent: int
) -> None:
    """No estimate exists for targets that report three figures."""

    def placed(figure: Figure) -> tuple[object, ...]:
        fakes = [FakeTarget(1.0 + i % 3, figure, i % 4) for i in range(4)]
        found = Play(seed, fakes).run(4.0, utilization)
        for entry in found.entries:
            assert entry.fleet.speeds.to_tell(entry.now) == []
            assert entry.fleet.speeds.slow_count(entry.now) == 0
        return found.counts, found.refused, found.took_s

    assert placed(usual) == placed(fixed(percent))


async def test_an_unreadable_load_is_logged_once_for_each_text() -> None:
    """It changes nothing; the figures of the next readable one do."""
    reader, writer = os.pipe()
    harness, only = PlacementHarness(target("t")), target("t")
    events, metrics = Events(LineWriter(writer), "n1"), EntryMetrics()
    limits = LimitCollector(wire({}), harness.fleet.limits, events, metrics)
    handler = TargetReportHandler(wire({}), harness.placement, limits, events, metrics)
    state = harness.fleet.state_of(only, harness.now)
    header = wire({}).headers.load
    for text in ("3,0,8,x", "3,0,8,x", "3,0,8,2.5", "3,0,8,1,1", "9,9,4,"):
        state.record_sent(harness.now)
        handler.handle_reply(only, TargetReply(200, b"OK", [(header, text)], b""))
        state.record_end()
        now = asyncio.get_running_loop().time()
        assert (state.load(now), state.slowness(now)) == (0.0, 1.0)
    handler.handle_reply(only, TargetReply(200, b"OK", [(header, "1,0,4,250")], b""))
    assert state.slowness(asyncio.get_running_loop().time()) == 2.5
    logged = [json.loads(line) for line in os.read(reader, 1 << 16).splitlines()]
    found = [(e["event"], e["what"], e["text"]) for e in logged]
    texts = ("3,0,8,x", "3,0,8,2.5", "3,0,8,1,1", "9,9,4,")
    assert found == [("report_unreadable", "load", text) for text in texts]
    os.close(reader)
    os.close(writer)


# Single decisions.


def answer(harness: PlacementHarness, took_ms: float, slowness: float) -> bool:
    """Place a request and answer it later; return whether its target is ejected."""
    request = harness.new_request()
    placement = harness.placement.place(request, harness.now)
    assert isinstance(placement, Placement), placement
    harness.now += took_ms / 1000
    report = TargetReport(load=TargetLoad(0, 0, SLOTS, slowness))
    harness.placement.take_report(placement.target, report, harness.now)
    harness.placement.ended(placement, harness.now)
    return harness.placement.answered(request, placement, took_ms, 100, harness.now)


def expected_ms(harness: PlacementHarness) -> float:
    placement = harness.place()
    assert isinstance(placement, Placement)
    harness.placement.ended(placement, harness.now)
    return placement.expected_ms


def test_usual_run_times_are_learned_at_a_slow_target() -> None:
    harness = PlacementHarness(target("t"))
    usual_ms = expected_ms(harness)
    for _ in range(200):
        answer(harness, 2.5 * usual_ms, 2.5)
    assert expected_ms(harness) == pytest.approx(2.5 * usual_ms, rel=0.05)
    harness.now += LIFETIME_S
    assert expected_ms(harness) == pytest.approx(usual_ms, rel=0.05)


def test_a_target_that_says_it_is_slow_is_not_ejected_for_it() -> None:
    says, silent = (PlacementHarness(target("t")) for _ in range(2))
    usual_ms = expected_ms(says)
    assert not any(answer(says, 5 * usual_ms, 5.0) for _ in range(50))
    assert any(answer(silent, 5 * expected_ms(silent), 1.0) for _ in range(50))


def test_a_target_much_slower_than_it_says_is_ejected() -> None:
    harness = PlacementHarness(target("t"))
    assert any(answer(harness, 5 * expected_ms(harness), 1.5) for _ in range(50))


def test_time_outs_of_a_target_that_says_it_is_slow_do_not_eject_it() -> None:
    harness = PlacementHarness(target("t"))
    usual_ms = expected_ms(harness)
    for _ in range(20):
        answer(harness, 5 * usual_ms, 5.0)
        placement = harness.place()
        assert isinstance(placement, Placement)
        assert not harness.placement.timed_out(placement, 6 * usual_ms, harness.now)
        harness.placement.ended(placement, harness.now)


def test_a_rejection_of_a_slow_target_tells_its_slowness() -> None:
    only = target("t")
    harness = PlacementHarness(only)
    placement = harness.place()
    assert isinstance(placement, Placement)
    report = TargetReport(not_run=True, load=TargetLoad(4, 4, SLOTS, 3.0))
    harness.placement.take_report(only, report, harness.now)
    assert harness.fleet.state_of(only, harness.now).slowness(harness.now) == 3.0


def test_the_utilization_of_a_region_counts_slow_slots_for_less() -> None:
    """A slow target has less room; if all are slow, only their load counts."""
    one, two = target("t1"), target("t2")
    harness = PlacementHarness(one, two)

    def utilization() -> float:
        return harness.placement.shares.utilization("s", "a", harness.now)

    def report(slow: Target, slowness: float) -> None:
        state = harness.fleet.state_of(slow, harness.now)
        load = TargetLoad(0, 0, SLOTS, slowness)
        state.record_report(TargetReport(load=load), Random(1), harness.now)

    harness.set_load(two, SLOTS)
    assert utilization() == 0.5
    report(one, MAX_SLOWNESS)
    harness.set_load(two, SLOTS)
    before_all = utilization()
    assert before_all > 0.8
    report(two, MAX_SLOWNESS)
    harness.set_load(two, SLOTS)
    assert utilization() <= 0.5
