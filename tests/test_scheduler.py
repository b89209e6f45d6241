# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of scheduling: tiers, queues, ramps, regions and outdated probe results."""

from random import Random

import msgspec
import pytest

from leverdoor.errors import Code, Rejection
from leverdoor.gate.cap_ramp import Ramp
from leverdoor.gate.placement import Dispatch, Forward
from leverdoor.gate.queueing import QueuedRequest, WaitQueue
from leverdoor.gate.row_units import HeldUnits
from leverdoor.gate.scheduler import Scheduler
from leverdoor.gate.target_health import TargetHealth
from leverdoor.membership.ownership import GateProcess, Table, plan
from leverdoor.membership.peers import AgentHeartbeat, GateState, Load
from leverdoor.model.blocks import ClientRegionMap
from leverdoor.model.probe import Probe
from leverdoor.model.resources import (
    Drain,
    Region,
    Resource,
    Service,
    ShiftCap,
    Target,
    Tier,
    WorkClass,
    resource_key,
)
from leverdoor.storage.view import View

PAID = Tier(name="paid", reserve_percent=50, weight=4)
FREE = Tier(name="free", weight=1, default=True)
HALF = Tier(name="half", weight=2)


def target(i: int, slots: int = 2, **more: object) -> Target:
    return Target(
        name=f"t{i}",
        service="s",
        region="home",
        domain="d0",
        address=f"10.0.0.{i + 1}:80",
        slots=slots,
        **more,  # type: ignore[arg-type]
    )


def view(*more: Resource, queue: int = 4, work: WorkClass = WorkClass.LOOKUP) -> View:
    resources: list[Resource] = [
        Region(name="home", domains=["d0"], latency_ms={"near": 10, "far": 50}),
        Region(name="near", domains=["d1"]),
        Region(name="far", domains=["d2"]),
        Service(name="s", work=work, queue=queue, bulk_prefixes=["b"]),
        PAID,
        FREE,
        *more,
    ]
    return View(1, {resource_key(r): r for r in resources}, ClientRegionMap({}))


def scheduler(v: View) -> Scheduler:
    member = GateProcess("vm0", "g0", 1)
    table = plan(Table("home"), v.specs("home"), [member]) or Table("home")
    holdings = HeldUnits("g0", 1)
    holdings.apply(table, {}, -100.0)
    return Scheduler("vm0", "home", holdings, v, Random(1))


def queued_request(
    tier: Tier = FREE, deadline: float = 100.0, home: str = "home", bulk: bool = False
) -> QueuedRequest:
    return QueuedRequest("s", tier, home, 0.0, deadline, bulk=bulk)


def peer_heartbeat(
    region: str, free: int, seq: int = 1, caps: int = 0
) -> AgentHeartbeat:
    return AgentHeartbeat(
        f"vm-{region}",
        region,
        "d",
        "",
        "",
        1,
        seq,
        gate=f"g-{region}",
        relay=f"relay-{region}",
        incarnation=1,
        state=GateState.SERVING,
        loads={"s": Load(4, free, 0, 20.0)},
        caps={f"c:s:{region}": caps},
    )


def fill(s: Scheduler, tier: Tier = FREE) -> list[tuple[QueuedRequest, Dispatch]]:
    """Dispatch requests until no slot is free."""
    made = []
    while True:
        j = queued_request(tier)
        decision = s.offer(j, 0.0)
        if not isinstance(decision, Dispatch):
            s.withdraw(j)
            return made
        made.append((j, decision))


def test_all_slots_are_used_but_not_exceeded() -> None:
    s = scheduler(view(target(0), target(1)))
    assert len(fill(s)) == 4


def test_a_paid_tier_below_its_reserve_goes_first() -> None:
    s = scheduler(view(target(0), queue=9))
    running = fill(s)
    waiting = [queued_request(FREE), queued_request(FREE), queued_request(PAID)]
    assert [s.offer(j, 0.0) for j in waiting] == [None] * 3
    s.done(*running[0], 0.1, 5.0, True, 0.0)
    assert [j.tier.name for j, _ in s.poll(0.1)] == ["paid"]


def test_tiers_above_their_reserve_share_by_weight() -> None:
    queue = WaitQueue()
    for _ in range(30):
        queue.push(queued_request(HALF))
        queue.push(queued_request(FREE))
    served = []
    for _ in range(30):
        head = queue.order({}, 4)[0]
        queue.pop(head)
        served.append(head.tier.name)
    assert served.count("half") == 20


def test_a_full_queue_sheds_the_lowest_tier_first() -> None:
    s = scheduler(view(target(0, 1), queue=2))
    fill(s)
    low = [queued_request(FREE), queued_request(FREE)]
    assert [s.offer(j, 0.0) for j in low] == [None, None]
    paid = queued_request(PAID)
    refused = s.offer(paid, 0.0)
    assert isinstance(refused, Rejection)
    assert refused.code is Code.QUEUE_FULL
    victim = s.eviction_candidate(paid)
    assert victim is low[1]
    shed = s.shed_waiting(victim, 0.0)
    assert shed is not None
    assert shed.code is Code.SHED_BY_TIER
    assert shed.retry_after_ms > 0
    assert s.offer(paid, 0.0) is None
    assert s.eviction_candidate(queued_request(FREE)) is None


def test_a_request_whose_wait_exceeds_its_deadline_is_refused_at_once() -> None:
    s = scheduler(view(target(0, 1), queue=9))
    running = fill(s)
    s.done(*running[0], 1.0, 500.0, True, 0.0)
    fill(s)
    assert s.offer(queued_request(deadline=2.0), 0.0) is None
    refused = s.offer(queued_request(deadline=0.3), 0.0)
    assert isinstance(refused, Rejection)
    assert refused.code is Code.DEADLINE_TOO_SHORT
    assert refused.retry_after_ms > 0


def test_a_request_that_waits_past_its_deadline_is_refused() -> None:
    s = scheduler(view(target(0, 1)))
    fill(s)
    j = queued_request(deadline=1.0)
    assert s.offer(j, 0.0) is None
    made = s.poll(1.0)
    assert made[0][0] is j
    assert isinstance(made[0][1], Rejection)


def test_retry_after_is_jittered() -> None:
    s = scheduler(view(target(0, 1), queue=0))
    fill(s)
    hints = set()
    for _ in range(20):
        refused = s.offer(queued_request(), 0.0)
        assert isinstance(refused, Rejection)
        hints.add(refused.retry_after_ms)
    assert len(hints) > 5


def test_bulk_uploads_yield_to_other_requests() -> None:
    s = scheduler(view(target(0, 4), work=WorkClass.ONCE, queue=20))
    bulk = [queued_request(bulk=True) for _ in range(4)]
    taken = [s.offer(j, 0.0) for j in bulk]
    assert [isinstance(d, Dispatch) for d in taken] == [True, True, False, False]
    interactive = [queued_request() for _ in range(3)]
    decisions = [s.offer(j, 0.0) for j in interactive]
    assert [isinstance(d, Dispatch) for d in decisions] == [True, True, False]
    assert isinstance(taken[0], Dispatch)
    s.done(bulk[0], taken[0], 1.0, 5.0, True, 0.0)
    assert [j for j, _ in s.poll(1.0)] == [interactive[2]]


def test_a_request_stays_in_its_home_region_while_the_wait_is_short() -> None:
    s = scheduler(view(target(0)))
    s.peer_gates.receive([peer_heartbeat("near", 4)], 0.0)
    fill(s)
    assert s.offer(queued_request(), 0.0) is None


def test_a_request_goes_to_the_nearest_free_region_when_home_is_drained() -> None:
    s = scheduler(view(target(0), Drain(name="d", region="home")))
    s.peer_gates.receive([peer_heartbeat("near", 0), peer_heartbeat("far", 4)], 0.0)
    made = s.offer(queued_request(), 0.0)
    assert isinstance(made, Forward)
    assert made.region == "far"
    s.peer_gates.receive([peer_heartbeat("near", 4, seq=2)], 0.0)
    made = s.offer(queued_request(), 0.0)
    assert isinstance(made, Forward)
    assert made.region == "near"


def test_no_request_is_shifted_without_a_cap_unit() -> None:
    cap = ShiftCap(name="c", service="s", region="near", units=5, window_ms=1000)
    s = scheduler(view(target(0), Drain(name="d", region="home"), cap))
    away = Target(
        name="away",
        service="s",
        region="near",
        domain="d1",
        address="10.1.0.1:80",
        slots=2,
    )
    # Adds the target `away`, which only the near region can use.
    s.view = view(target(0), away, Drain(name="d", region="home"), cap)
    s.peer_gates.receive([peer_heartbeat("near", 4, caps=1)], 0.0)
    assert isinstance(s.offer(queued_request(), 0.0), Forward)
    assert s.offer(queued_request(), 0.0) is None


def test_a_cap_unit_of_a_shifted_request_is_used_until_a_window_later() -> None:
    cap = ShiftCap(
        name="c", service="s", region="home", units=1, window_ms=1000, ramp_percent=100
    )
    s = scheduler(view(target(0), cap))
    first = QueuedRequest("s", FREE, "near", 0.0, 9.0, forwarded=True)
    made = s.offer(first, 0.0)
    assert isinstance(made, Dispatch)
    assert made.cap
    s.done(first, made, 0.2, 200.0, True, 0.0)
    again = QueuedRequest("s", FREE, "near", 0.0, 9.0, forwarded=True)
    assert isinstance(s.offer(again, 1.1), Rejection)
    assert isinstance(s.offer(again, 1.3), Dispatch)


def test_a_silent_gate_is_not_used() -> None:
    s = scheduler(view(target(0), Drain(name="d", region="home")))
    s.peer_gates.receive([peer_heartbeat("near", 4)], 0.0)
    assert s.usable_gates(1.0)
    assert not s.usable_gates(2.0)


@pytest.mark.parametrize("fault", ["failed", "shed"])
def test_a_failed_target_is_ejected_for_a_time(fault: str) -> None:
    health = TargetHealth(0.0)
    getattr(health, fault)(0.0)
    assert not health.usable(0.05)
    assert health.usable(0.3)
    getattr(health, fault)(0.3)
    assert not health.usable(0.45)


def test_a_report_does_not_end_an_ejection_after_shed_requests() -> None:
    health = TargetHealth(0.0)
    for _ in range(8):
        health.shed(0.0)
    health.report(Probe(True, False, 0, 0.9))
    assert not health.usable(0.9)


def test_a_probe_older_than_a_leaving_response_does_not_clear_leaving() -> None:
    """The target may have answered the probe before it announced leaving."""
    health = TargetHealth(0.0)
    health.record_leaving(10.0)
    for taken_at in (9.9, 10.05):
        health.report(Probe(True, False, 0, taken_at))
        assert not health.usable(10.1)
    health.report(Probe(True, False, 0, 12.0))
    assert health.usable(12.0)


def test_a_probe_without_a_report_does_not_clear_leaving() -> None:
    """Without reports, leaving ends only after a failed probe, a sign of a restart."""
    health = TargetHealth(0.0)
    health.record_leaving(10.0)
    health.report(Probe(True, taken_at=20.0, reports=False))
    assert not health.usable(20.0)
    health.report(Probe(False, taken_at=30.0))
    assert not health.usable(30.0)
    health.report(Probe(True, taken_at=32.0, reports=False))
    assert health.usable(32.0)


def test_the_weight_of_a_report_declines_with_its_age() -> None:
    health = TargetHealth(0.0)
    idle = health.score(0.0)
    health.report(Probe(True, False, 10, 0.0))
    assert health.score(0.0) > health.score(3.0) > idle
    assert health.score(10.0) == idle


def test_a_new_target_receives_few_requests_during_slow_start() -> None:
    s = scheduler(view(target(0, 4, warmup_ms=1000)))
    assert len(fill(s)) == 1
    s.targets.of(target(0), 0.0)
    later = s.offer(queued_request(), 0.6)
    assert isinstance(later, Dispatch)


def test_a_ramp_rises_with_use_and_falls_without_use() -> None:
    ramp = Ramp(0.25, 1.0, 0.0)
    assert ramp.allowed(8, 0.0) == 2
    ramp.use()
    ramp.use()
    assert ramp.allowed(8, 1.0) == 4
    for _ in range(4):
        ramp.use()
    assert ramp.allowed(8, 2.0) == 8
    assert ramp.allowed(8, 3.0) == 4
    assert ramp.allowed(8, 60.0) == 2
    assert Ramp(0.1, 1.0, 0.0).allowed(1, 0.0) == 1


def test_unused_windows_after_a_used_one_lower_the_ramp() -> None:
    """The caches cooled down meanwhile; the full level would meet them cold."""
    ramp = Ramp(0.25, 1.0, 0.0)
    ramp.use()
    ramp.use()
    assert ramp.allowed(8, 1.0) == 4
    for _ in range(4):
        ramp.use()
    assert ramp.allowed(8, 10.0) == 2


def test_paid_requests_are_accepted_while_low_tiers_wait_at_other_gates() -> None:
    s = scheduler(view(target(0, 2), queue=50))
    fill(s)
    for _ in range(10):
        s.offer(queued_request(FREE), 0.0)
    crowded = peer_heartbeat("home", 0)
    loads = {"s": Load(2, 0, 300, 20.0)}
    s.peer_gates.receive([msgspec.structs.replace(crowded, loads=loads)], 0.0)
    assert isinstance(s.offer(queued_request(FREE, deadline=1.0), 0.0), Rejection)
    assert s.offer(queued_request(PAID, deadline=1.0), 0.0) is None


def test_many_failures_in_a_row_still_eject_a_target() -> None:
    """A target that is down for long fails its 1025th probe like any other."""
    health = TargetHealth(now=0.0)
    for number in range(1100):
        health.failed(float(number))
    assert not health.usable(1099.0)


def test_many_shed_requests_in_a_row_still_eject_a_target() -> None:
    health = TargetHealth(now=0.0)
    for number in range(1100):
        health.shed(float(number))
    assert not health.usable(1099.0)
