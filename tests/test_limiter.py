# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Selection of the limiter of a target, the share it grants, and grant requests."""

import asyncio
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from leverdoor.entry.exchange.messages import PermitRequest, PermitResponse
from leverdoor.entry.limits.limiter import Limiter
from leverdoor.entry.limits.limiter_client import LimiterClient
from leverdoor.entry.limits.limiter_selector import (
    DISCOVERY_S,
    HANDOVER_S,
    HANDOVER_SHARE,
    LimiterSelector,
)
from leverdoor.entry.membership.liveness import SILENCE_S
from leverdoor.entry.membership.member import (
    LEAVING,
    SERVING,
    DigestRow,
    EntryState,
    Member,
    member_id,
)
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import HeartbeatObservation
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.pause_detector import MIN_PAUSE_S, PauseDetector
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.placement.placement_request import PlacementRequest
from leverdoor.limits.advertised import LimitAdvertisement
from leverdoor.model.resources import Route, Service, Target, WorkClass
from leverdoor.model.target_id import target_id

STEADY_S = 100.0
"""A time at which an entry has run for longer than any time of the selection."""
TARGET = Target(
    name="i-1",
    service="look",
    region="a",
    domain="a1",
    address="10.0.0.9:80",
    slots=9,
)


def member(name: str) -> Member:
    """Return an entry; the name `a1-0` means domain a1 in region a."""
    domain = name.split("-")[0]
    return Member(name, domain[0], domain, f"f/{name}", f"g/{name}", f"p/{name}", 1)


class EntryView:
    """One entry with its view of the membership and its limiter selection."""

    def __init__(self, own: str, others: list[str], state: EntryState = SERVING):
        self.membership = Membership(member(own))
        self.elapsed_s = 0.0
        self.pauses = PauseDetector(0.0, lambda: self.elapsed_s)
        self.selection = LimiterSelector(self.membership, lambda: state, self.pauses)
        for name in others:
            self.receive_heartbeat(name, STEADY_S)

    def receive_heartbeat(
        self, name: str, at: float, state: EntryState = SERVING
    ) -> None:
        self.membership.update_member(member(name), at)
        row = DigestRow(member_id(name), 1, state)
        self.membership.record_heartbeat(HeartbeatObservation(row, at), at)

    def own_share(self, now: float) -> float:
        self.run_until(now)
        return self.selection.own_share(TARGET, now)

    def run_until(self, now: float) -> None:
        """Advance the clock of the entry without a pause."""
        while self.elapsed_s < now:
            self.elapsed_s = min(self.elapsed_s + MIN_PAUSE_S / 2, now)
            self.pauses.uninterrupted_s(self.elapsed_s)


ENTRY_NAMES = ["a1-0", "a1-1", "a2-0", "b1-0", "b1-1"]


def views() -> dict[str, EntryView]:
    return {n: EntryView(n, [o for o in ENTRY_NAMES if o != n]) for n in ENTRY_NAMES}


def run_until_steady(view: EntryView) -> None:
    """Advance the clock of an entry to `STEADY_S`."""
    view.run_until(STEADY_S)


def limiter_of(view: EntryView, now: float = STEADY_S) -> str:
    found = view.selection.limiter(TARGET, now)
    assert found is not None
    return found.name


def test_entries_with_the_same_view_select_the_same_limiter_in_the_region() -> None:
    found = {limiter_of(view) for view in views().values()}
    assert len(found) == 1
    assert found.pop().startswith("a")


def test_only_the_limiter_grants_and_it_grants_the_whole_limit() -> None:
    shares = []
    for view in views().values():
        run_until_steady(view)
        shares.append(view.own_share(STEADY_S))
    assert sorted(shares) == [0.0, 0.0, 0.0, 0.0, 1.0]


def test_the_successor_of_a_silent_limiter_grants_a_share_first() -> None:
    """A silent limiter may still grant requests behind a partition.

    Other entries may not have noticed that it is silent.
    """
    previous = limiter_of(EntryView("b1-0", [n for n in ENTRY_NAMES if n != "b1-0"]))
    rest = [n for n in ENTRY_NAMES if n != previous and n.startswith("a")]
    shares: dict[float, list[float]] = {}
    for name in rest:
        view = EntryView(name, [n for n in ENTRY_NAMES if n != name])
        run_until_steady(view)
        for after_s in (SILENCE_S + 0.1, HANDOVER_S + 0.2):
            now = STEADY_S + after_s
            for other in rest:
                if other != name:
                    view.receive_heartbeat(other, now)
            shares.setdefault(after_s, []).append(view.own_share(now))
    early, late = shares.values()
    assert sorted(early) == [0.0, HANDOVER_SHARE]
    assert sorted(late) == [0.0, pytest.approx(1.2 * 2 / 3)]


def test_a_leaving_limiter_grants_nothing_and_its_successor_the_whole_limit() -> None:
    previous = limiter_of(EntryView("b1-0", [n for n in ENTRY_NAMES if n != "b1-0"]))
    leaving = EntryView(previous, [n for n in ENTRY_NAMES if n != previous], LEAVING)
    run_until_steady(leaving)
    assert leaving.own_share(STEADY_S) == 0.0
    shares = []
    for name in [n for n in ENTRY_NAMES if n != previous and n.startswith("a")]:
        view = EntryView(name, [n for n in ENTRY_NAMES if n != name])
        run_until_steady(view)
        view.receive_heartbeat(previous, STEADY_S + 0.01, LEAVING)
        shares.append(view.own_share(STEADY_S + 0.15))
    assert sorted(shares) == [0.0, 1.0]


def test_a_limiter_that_started_or_resumed_grants_a_share_first() -> None:
    previous = limiter_of(EntryView("b1-0", [n for n in ENTRY_NAMES if n != "b1-0"]))
    view = EntryView(previous, [n for n in ENTRY_NAMES if n != previous])
    run_until_steady(view)
    view.elapsed_s = STEADY_S + 2 * MIN_PAUSE_S
    assert view.own_share(STEADY_S) == HANDOVER_SHARE
    view = EntryView(previous, [], SERVING)
    assert view.own_share(DISCOVERY_S - 0.1) == HANDOVER_SHARE
    assert view.own_share(DISCOVERY_S + 0.1) == 1.0


@given(
    st.lists(st.integers(0, 7), min_size=1, max_size=8),
    st.sampled_from([SILENCE_S + 0.1, HANDOVER_S + 0.1]),
)
def test_all_sides_of_a_partition_grant_less_than_one_and_a_half_limits(
    sides: list[int], after_s: float
) -> None:
    """The bound holds for any number of sides, and right after the partition.

    Guards against isolated entries that each act as the successor of a silent limiter:
    a fifth of 195 entries, each isolated, granted themselves half of the limit.
    """
    names = [f"a1-{i}" for i in range(len(sides))]
    now = STEADY_S + after_s
    total = 0.0
    for i, name in enumerate(names):
        view = EntryView(name, [n for n in names if n != name])
        run_until_steady(view)
        for j, other in enumerate(names):
            if j != i and sides[j] == sides[i]:
                view.receive_heartbeat(other, now)
        total += view.own_share(now)
    assert 0.0 < total <= 1.5


def service(per_s: float) -> Service:
    return Service(name="look", work=WorkClass.LOOKUP, warmup_per_s=per_s)


def limiter_without_peers(fleet: Fleet, only: Target) -> Limiter:
    """Return the limiter of an entry that has run without peers for long."""
    view = EntryView("a1-0", [])
    run_until_steady(view)
    # This clock stands still, so the entry counts as running since time 0.
    view.pauses = PauseDetector(0.0, lambda: 0.0)
    selection = LimiterSelector(view.membership, lambda: SERVING, view.pauses)
    return Limiter(fleet, selection, view.pauses, {target_id(only.name): only}.get)


class GrantExchange:
    """A client entry and a limiter entry that exchange messages without delay."""

    def __init__(self, own: str, answers: bool = True) -> None:
        now = asyncio.get_running_loop().time()
        self.fleet = Fleet()
        self.fleet.limits.take(
            LimitAdvertisement(target_id(TARGET.name), 2.0, now - 60.0)
        )
        self.sent: list[tuple[PermitRequest, str]] = []
        self._answers = answers
        self.grant_client = self._create_client(own, now)
        other = "a1-1" if own == "a1-0" else "a1-0"
        self.limiter_peer = self._create_limiter(other, now)

    def _create_selection(
        self, own: str, now: float
    ) -> tuple[LimiterSelector, PauseDetector]:
        membership = Membership(member(own))
        for name in ("a1-0", "a1-1"):
            if name != own:
                membership.update_member(member(name), now)
                row = DigestRow(member_id(name), 1, SERVING)
                membership.record_heartbeat(HeartbeatObservation(row, now), now)
        pauses = PauseDetector(now - 60.0, lambda: 0.0)
        return LimiterSelector(membership, lambda: SERVING, pauses), pauses

    def _create_limiter(self, own: str, now: float) -> Limiter:
        selection, pauses = self._create_selection(own, now)
        targets = {target_id(TARGET.name): TARGET}
        return Limiter(self.fleet, selection, pauses, targets.get)

    def _create_client(self, own: str, now: float) -> LimiterClient:
        selection, _ = self._create_selection(own, now)
        limiter = self._create_limiter(own, now)
        return LimiterClient(
            self.fleet, selection, limiter, self._send, Random(1), EntryMetrics()
        )

    def _send(self, request: PermitRequest, to: str) -> None:
        self.sent.append((request, to))
        if self._answers:
            now = asyncio.get_running_loop().time()
            self.grant_client.handle_answer(self.limiter_peer.answer(request, now))

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


def client_name() -> str:
    """Return which of the two entries is not the limiter of the target."""
    limiter = EntryView("b1-0", ["a1-0", "a1-1"]).selection.limiter(TARGET, STEADY_S)
    assert limiter is not None
    return "a1-1" if limiter.name == "a1-0" else "a1-0"


async def test_the_client_gets_the_grants_of_the_limiter_and_no_more() -> None:
    exchange = GrantExchange(client_name())
    granted = [
        await exchange.grant_client.acquire(exchange.request(), TARGET)
        for _ in range(9)
    ]
    assert granted == [True] * 5 + [False] * 4
    assert all(
        to == f"g/{limiter}"
        for _, to in exchange.sent
        for limiter in ["a1-0" if client_name() == "a1-1" else "a1-1"]
    )
    now = asyncio.get_running_loop().time()
    state = exchange.fleet.state_of(TARGET, now)
    assert state.is_usable(now)
    assert state.room.suppresses(2, now)
    assert not state.room.suppresses(1, now)


async def test_the_limiter_sends_no_message_to_itself() -> None:
    exchange = GrantExchange("a1-1" if client_name() == "a1-0" else "a1-0")
    granted = [
        await exchange.grant_client.acquire(exchange.request(), TARGET)
        for _ in range(9)
    ]
    assert granted == [True] * 5 + [False] * 4
    assert exchange.sent == []


async def test_no_grant_is_requested_for_a_target_without_a_limit() -> None:
    exchange = GrantExchange(client_name())
    other = Target(
        name="i-2",
        service="look",
        region="a",
        domain="a1",
        address="10.0.0.8:80",
        slots=9,
    )
    assert await exchange.grant_client.acquire(exchange.request(), other)
    assert exchange.sent == []


async def test_a_missing_answer_counts_as_a_refusal() -> None:
    """The request is sent twice; an entry cut off from the limiter sends nothing."""
    exchange = GrantExchange(client_name(), answers=False)
    assert not await exchange.grant_client.acquire(exchange.request(), TARGET)
    assert len(exchange.sent) == 2
    assert len({request.request_number for request, _ in exchange.sent}) == 1
    now = asyncio.get_running_loop().time()
    late = PermitResponse(exchange.sent[0][0].request_number, True, 0, 0)
    exchange.grant_client.handle_answer(late)
    assert exchange.fleet.state_of(TARGET, now).room.suppresses(2, now)


@pytest.mark.parametrize("per_s", [float("nan"), float("inf"), -1.0])
async def test_a_request_with_an_invalid_limit_is_refused_without_side_effects(
    per_s: float,
) -> None:
    exchange = GrantExchange(client_name())
    now = asyncio.get_running_loop().time()
    key = target_id(TARGET.name)
    bad = PermitRequest("g/x", 1, key, per_s, 2, 0)
    assert not exchange.limiter_peer.answer(bad, now).granted
    assert exchange.limiter_peer.answer(
        PermitRequest("g/x", 2, key, 2.0, 2, 0), now
    ).granted


async def test_a_duplicate_request_takes_one_token() -> None:
    exchange = GrantExchange(client_name())
    now = asyncio.get_running_loop().time()
    request = PermitRequest("g/x", 1, target_id(TARGET.name), 2.0, 2, 0)
    answers = [exchange.limiter_peer.answer(request, now) for _ in range(9)]
    assert all(a.granted for a in answers)
    others = [
        exchange.limiter_peer.answer(
            PermitRequest("g/x", n, request.target, 2.0, 2, 0), now
        )
        for n in range(2, 11)
    ]
    assert sum(a.granted for a in others) == 4


@given(st.integers(1, 40), st.lists(st.integers(0, 30), max_size=60))
def test_a_cold_target_gets_its_warm_up_rate_for_any_number_of_clients(
    clients: int, steps_ms: list[int]
) -> None:
    """Any second has at most 1.5 times the warm-up rate plus 5 grants."""
    fleet = Fleet()
    cold = msgspec.structs.replace(TARGET, cold_ms=60_000)
    fleet.renew({cold.name: cold}, STEADY_S, [service(11.0)])
    limiter = limiter_without_peers(fleet, cold)
    now, granted = STEADY_S, []
    for number, step_ms in enumerate(steps_ms * clients):
        now += step_ms / 1000
        request = PermitRequest("g/x", number, target_id(cold.name), 8.25, 2, 0)
        if limiter.answer(request, now).granted:
            granted.append(now)
    most = max((sum(a <= b < a + 1 for b in granted) for a in granted), default=0)
    assert most <= 1.5 * 11.0 + 5


def test_the_warm_up_rate_of_a_cold_target_is_used() -> None:
    fleet = Fleet()
    cold = msgspec.structs.replace(TARGET, cold_ms=60_000)
    fleet.renew({cold.name: cold}, STEADY_S, [service(11.0)])
    limiter = limiter_without_peers(fleet, cold)
    granted = sum(
        limiter.decide(cold, 11.0, 2, 0, STEADY_S + step / 100).granted
        for step in range(1_000)
    )
    assert granted >= 0.7 * 11.0 * 10.0


def test_the_smaller_of_limit_and_warm_up_rate_applies_to_a_cold_target() -> None:
    fleet = Fleet()
    cold = msgspec.structs.replace(TARGET, cold_ms=60_000)
    fleet.renew({cold.name: cold}, 0.0, [service(11.0)])
    assert fleet.effective_limit_per_s(cold, 1.0) == 8.25
    fleet.limits.take(LimitAdvertisement(target_id(cold.name), 2.0, 1.0))
    assert fleet.effective_limit_per_s(cold, 1.0) == 2.0
    assert fleet.effective_limit_per_s(cold, 61.0) == 2.0
    fleet.limits.take(LimitAdvertisement(target_id(cold.name), None, 2.0))
    assert fleet.effective_limit_per_s(cold, 61.0) is None
    fleet.renew({cold.name: cold}, 3.0, [service(0.0)])
    assert fleet.effective_limit_per_s(cold, 3.0) is None
