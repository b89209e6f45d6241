# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Who hands out the room of a target, how much of it, and how it is asked."""

import asyncio
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from leverdoor.entry.exchange.messages import RoomAnswer, RoomRequest
from leverdoor.entry.limits.asking import RoomAsking
from leverdoor.entry.limits.limiter import Limiter
from leverdoor.entry.limits.role import (
    HANDOVER_PART,
    HANDOVER_S,
    NEWCOMER_S,
    LimiterRole,
)
from leverdoor.entry.membership.liveness import SILENCE_S
from leverdoor.entry.membership.member import (
    LEAVING,
    SERVING,
    EntryState,
    Member,
    MemberRow,
    member_id,
)
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import LastSeen
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.pause_detector import MIN_PAUSE_S, PauseDetector
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.placement.placement_request import PlacementRequest
from leverdoor.limits.named import LimitWord
from leverdoor.model.resources import Route, Service, Target, WorkClass
from leverdoor.model.target_id import target_id

LONG_S = 100.0
"""A time after which an entry has long been running."""
TARGET = Target(
    name="i-1",
    service="look",
    region="a",
    domain="a1",
    address="10.0.0.9:80",
    slots=9,
)


def member(name: str) -> Member:
    """`a1-0` is an entry of domain a1 in region a."""
    domain = name.split("-")[0]
    return Member(name, domain[0], domain, f"f/{name}", f"g/{name}", f"p/{name}", 1)


class View:
    """What one entry sees of the others, and its role."""

    def __init__(self, own: str, others: list[str], state: EntryState = SERVING):
        self.membership = Membership(member(own))
        self.elapsed_s = 0.0
        self.pauses = PauseDetector(0.0, lambda: self.elapsed_s)
        self.role = LimiterRole(self.membership, lambda: state, self.pauses)
        for name in others:
            self.hear(name, LONG_S)

    def hear(self, name: str, at: float, state: EntryState = SERVING) -> None:
        self.membership.introduce(member(name), at)
        row = MemberRow(member_id(name), 1, state)
        self.membership.observe(LastSeen(row, at), at)

    def part(self, now: float) -> float:
        self.run_until(now)
        return self.role.part(TARGET, now)

    def run_until(self, now: float) -> None:
        """Run without a pause."""
        while self.elapsed_s < now:
            self.elapsed_s = min(self.elapsed_s + MIN_PAUSE_S / 2, now)
            self.pauses.uninterrupted_s(self.elapsed_s)


ENTRIES = ["a1-0", "a1-1", "a2-0", "b1-0", "b1-1"]


def views() -> dict[str, View]:
    return {n: View(n, [o for o in ENTRIES if o != n]) for n in ENTRIES}


def run_long(view: View) -> None:
    """Let an entry run up to `LONG_S`."""
    view.run_until(LONG_S)


def limiter_of(view: View, now: float = LONG_S) -> str:
    found = view.role.limiter(TARGET, now)
    assert found is not None
    return found.name


def test_all_that_know_the_same_entries_ask_the_same_one_of_the_region() -> None:
    found = {limiter_of(view) for view in views().values()}
    assert len(found) == 1
    assert found.pop().startswith("a")


def test_it_hands_out_all_of_the_limit_and_the_others_nothing() -> None:
    parts = []
    for view in views().values():
        run_long(view)
        parts.append(view.part(LONG_S))
    assert sorted(parts) == [0.0, 0.0, 0.0, 0.0, 1.0]


def test_the_next_one_begins_with_a_part_while_the_former_may_still_be_asked() -> None:
    """It is silent: others may not have noticed, and it may run behind a cut."""
    former = limiter_of(View("b1-0", [n for n in ENTRIES if n != "b1-0"]))
    rest = [n for n in ENTRIES if n != former and n.startswith("a")]
    parts: dict[float, list[float]] = {}
    for name in rest:
        view = View(name, [n for n in ENTRIES if n != name])
        run_long(view)
        for after_s in (SILENCE_S + 0.1, HANDOVER_S + 0.2):
            now = LONG_S + after_s
            for other in rest:
                if other != name:
                    view.hear(other, now)
            parts.setdefault(after_s, []).append(view.part(now))
    early, late = parts.values()
    assert sorted(early) == [0.0, HANDOVER_PART]
    assert sorted(late) == [0.0, pytest.approx(1.2 * 2 / 3)]


def test_a_leaving_one_hands_out_nothing_and_the_next_all() -> None:
    former = limiter_of(View("b1-0", [n for n in ENTRIES if n != "b1-0"]))
    leaving = View(former, [n for n in ENTRIES if n != former], LEAVING)
    run_long(leaving)
    assert leaving.part(LONG_S) == 0.0
    parts = []
    for name in [n for n in ENTRIES if n != former and n.startswith("a")]:
        view = View(name, [n for n in ENTRIES if n != name])
        run_long(view)
        view.hear(former, LONG_S + 0.01, LEAVING)
        parts.append(view.part(LONG_S + 0.15))
    assert sorted(parts) == [0.0, 1.0]


def test_one_that_started_or_resumed_hands_out_a_part() -> None:
    former = limiter_of(View("b1-0", [n for n in ENTRIES if n != "b1-0"]))
    view = View(former, [n for n in ENTRIES if n != former])
    run_long(view)
    view.elapsed_s = LONG_S + 2 * MIN_PAUSE_S
    assert view.part(LONG_S) == HANDOVER_PART
    view = View(former, [], SERVING)
    assert view.part(NEWCOMER_S - 0.1) == HANDOVER_PART
    assert view.part(NEWCOMER_S + 0.1) == 1.0


@given(
    st.lists(st.integers(0, 7), min_size=1, max_size=8),
    st.sampled_from([SILENCE_S + 0.1, HANDOVER_S + 0.1]),
)
def test_the_sides_of_a_cut_stay_below_one_and_a_half_limits(
    sides: list[int], after_s: float
) -> None:
    """However many they are, and while each takes the others for just silent.

    In the benchmark a fifth of 195 entries, each cut off alone, handed itself half of
    the limit at first, as one does that follows a single silent entry.
    """
    names = [f"a1-{i}" for i in range(len(sides))]
    now = LONG_S + after_s
    total = 0.0
    for i, name in enumerate(names):
        view = View(name, [n for n in names if n != name])
        run_long(view)
        for j, other in enumerate(names):
            if j != i and sides[j] == sides[i]:
                view.hear(other, now)
        total += view.part(now)
    assert 0.0 < total <= 1.5


def service(per_s: float) -> Service:
    return Service(name="look", work=WorkClass.LOOKUP, warmup_per_s=per_s)


def alone(fleet: Fleet, only: Target) -> Limiter:
    """Return the limiter of an entry that has long been alone."""
    view = View("a1-0", [])
    run_long(view)
    view.pauses = PauseDetector(0.0, lambda: 0.0)
    role = LimiterRole(view.membership, lambda: SERVING, view.pauses)
    return Limiter(fleet, role, view.pauses, {target_id(only.name): only}.get)


class Desk:
    """One entry that asks, and one that limits; messages cross at once."""

    def __init__(self, own: str, answers: bool = True) -> None:
        now = asyncio.get_running_loop().time()
        self.fleet = Fleet()
        self.fleet.limits.take(LimitWord(target_id(TARGET.name), 2.0, now - 60.0))
        self.sent: list[tuple[RoomRequest, str]] = []
        self._answers = answers
        self.asking = self._asking(own, now)
        other = "a1-1" if own == "a1-0" else "a1-0"
        self.limiting = self._limiter(other, now)

    def _role(self, own: str, now: float) -> tuple[LimiterRole, PauseDetector]:
        membership = Membership(member(own))
        for name in ("a1-0", "a1-1"):
            if name != own:
                membership.introduce(member(name), now)
                row = MemberRow(member_id(name), 1, SERVING)
                membership.observe(LastSeen(row, now), now)
        pauses = PauseDetector(now - 60.0, lambda: 0.0)
        return LimiterRole(membership, lambda: SERVING, pauses), pauses

    def _limiter(self, own: str, now: float) -> Limiter:
        role, pauses = self._role(own, now)
        targets = {target_id(TARGET.name): TARGET}
        return Limiter(self.fleet, role, pauses, targets.get)

    def _asking(self, own: str, now: float) -> RoomAsking:
        role, _ = self._role(own, now)
        limiter = self._limiter(own, now)
        return RoomAsking(
            self.fleet, role, limiter, self._ask, Random(1), EntryMetrics()
        )

    def _ask(self, request: RoomRequest, to: str) -> None:
        self.sent.append((request, to))
        if self._answers:
            now = asyncio.get_running_loop().time()
            self.asking.answered(self.limiting.answer(request, now))

    def request(self) -> PlacementRequest:
        route = Route(
            name="r",
            host="h",
            prefix="/",
            work=WorkClass.LOOKUP,
            services={"look": 1.0},
            timeout_ms=1000,
            priority=2,
        )
        return PlacementRequest("1", route, "look", "k", "1", 0.0, 1.0)


def asker() -> str:
    """Return the entry of two that does not limit the target."""
    limiter = View("b1-0", ["a1-0", "a1-1"]).role.limiter(TARGET, LONG_S)
    assert limiter is not None
    return "a1-1" if limiter.name == "a1-0" else "a1-0"


async def test_what_the_limiter_grants_is_sent_and_no_more() -> None:
    desk = Desk(asker())
    granted = [await desk.asking.acquire(desk.request(), TARGET) for _ in range(9)]
    assert granted == [True] * 5 + [False] * 4
    assert all(
        to == f"g/{limiter}"
        for _, to in desk.sent
        for limiter in ["a1-0" if asker() == "a1-1" else "a1-1"]
    )
    now = asyncio.get_running_loop().time()
    state = desk.fleet.of(TARGET, now)
    assert state.usable(now)
    assert state.room.closed(2, now)
    assert not state.room.closed(1, now)


async def test_the_limiter_itself_needs_no_message() -> None:
    desk = Desk("a1-1" if asker() == "a1-0" else "a1-0")
    granted = [await desk.asking.acquire(desk.request(), TARGET) for _ in range(9)]
    assert granted == [True] * 5 + [False] * 4
    assert desk.sent == []


async def test_a_target_without_a_limit_is_not_asked_for() -> None:
    desk = Desk(asker())
    other = Target(
        name="i-2",
        service="look",
        region="a",
        domain="a1",
        address="10.0.0.8:80",
        slots=9,
    )
    assert await desk.asking.acquire(desk.request(), other)
    assert desk.sent == []


async def test_no_answer_is_no_room() -> None:
    """It is asked twice; what is cut off from the limiter sends nothing."""
    desk = Desk(asker(), answers=False)
    assert not await desk.asking.acquire(desk.request(), TARGET)
    assert len(desk.sent) == 2
    assert len({request.number for request, _ in desk.sent}) == 1
    now = asyncio.get_running_loop().time()
    late = RoomAnswer(desk.sent[0][0].number, True, 0, 0)
    desk.asking.answered(late)
    assert desk.fleet.of(TARGET, now).room.closed(2, now)


@pytest.mark.parametrize("per_s", [float("nan"), float("inf"), -1.0])
async def test_a_question_with_no_limit_in_it_grants_nothing_and_harms_none(
    per_s: float,
) -> None:
    desk = Desk(asker())
    now = asyncio.get_running_loop().time()
    key = target_id(TARGET.name)
    bad = RoomRequest("g/x", 1, key, per_s, 2, 0)
    assert not desk.limiting.answer(bad, now).granted
    assert desk.limiting.answer(RoomRequest("g/x", 2, key, 2.0, 2, 0), now).granted


async def test_a_question_that_comes_twice_is_granted_once() -> None:
    desk = Desk(asker())
    now = asyncio.get_running_loop().time()
    request = RoomRequest("g/x", 1, target_id(TARGET.name), 2.0, 2, 0)
    answers = [desk.limiting.answer(request, now) for _ in range(9)]
    assert all(a.granted for a in answers)
    others = [
        desk.limiting.answer(RoomRequest("g/x", n, request.target, 2.0, 2, 0), now)
        for n in range(2, 11)
    ]
    assert sum(a.granted for a in others) == 4


@given(st.integers(1, 40), st.lists(st.integers(0, 30), max_size=60))
def test_a_cold_target_gets_what_it_bears_whatever_the_number_of_entries(
    askers: int, steps_ms: list[int]
) -> None:
    """In any second one and a half times what its service allows, and five more."""
    fleet = Fleet()
    cold = msgspec.structs.replace(TARGET, cold_ms=60_000)
    fleet.renew({cold.name: cold}, LONG_S, [service(11.0)])
    limiter = alone(fleet, cold)
    now, granted = LONG_S, []
    for number, step_ms in enumerate(steps_ms * askers):
        now += step_ms / 1000
        request = RoomRequest("g/x", number, target_id(cold.name), 8.25, 2, 0)
        if limiter.answer(request, now).granted:
            granted.append(now)
    most = max((sum(a <= b < a + 1 for b in granted) for a in granted), default=0)
    assert most <= 1.5 * 11.0 + 5


def test_what_a_cold_target_bears_is_used() -> None:
    fleet = Fleet()
    cold = msgspec.structs.replace(TARGET, cold_ms=60_000)
    fleet.renew({cold.name: cold}, LONG_S, [service(11.0)])
    limiter = alone(fleet, cold)
    granted = sum(
        limiter.decide(cold, 11.0, 2, 0, LONG_S + step / 100).granted
        for step in range(1_000)
    )
    assert granted >= 0.7 * 11.0 * 10.0


def test_a_cold_target_with_a_limit_has_the_smaller_of_both() -> None:
    fleet = Fleet()
    cold = msgspec.structs.replace(TARGET, cold_ms=60_000)
    fleet.renew({cold.name: cold}, 0.0, [service(11.0)])
    assert fleet.room_per_s(cold, 1.0) == 8.25
    fleet.limits.take(LimitWord(target_id(cold.name), 2.0, 1.0))
    assert fleet.room_per_s(cold, 1.0) == 2.0
    assert fleet.room_per_s(cold, 61.0) == 2.0
    fleet.limits.take(LimitWord(target_id(cold.name), None, 2.0))
    assert fleet.room_per_s(cold, 61.0) is None
    fleet.renew({cold.name: cold}, 3.0, [service(0.0)])
    assert fleet.room_per_s(cold, 3.0) is None
