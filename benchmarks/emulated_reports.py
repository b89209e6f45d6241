# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Both errors of heeding what targets say in answers, at any number of entries.

The product's emulator plays a site whose targets leave by their answers, ask for rest,
or do both in series beside restarts and a burst; the store calls all of them ready.
Counted are requests that reach a target against its word, and requests that are not
served, or late, while other targets have room. State: of one run.
"""

from collections import defaultdict
from contextlib import AbstractContextManager, nullcontext
from unittest.mock import patch

import msgspec

from leverdoor.emulator.clients import EmulatedClients
from leverdoor.emulator.plan import (
    Experiment,
    LoadSpec,
    ServiceSpec,
    SiteSpec,
    TroubleKind,
    TroubleSpec,
)
from leverdoor.emulator.results import Result
from leverdoor.emulator.site import RESTART_S, EmulatedSite
from leverdoor.emulator.targets import EmulatedTarget
from leverdoor.emulator.troubles import EmulatedTrouble
from leverdoor.entry.placement.availability import Availability
from leverdoor.standins.soak.report_promise import EntryArrival, report_breaches
from leverdoor.standins.upstreams import UpstreamArrival

__all__ = ["CASES", "WAYS", "ReportFigures", "ReportPlan", "play_reports"]

REGIONS = ("a", "b", "c")
TARGETS_A_ENTRY = 2.0
SLOTS = 9
RATE_AN_ENTRY = 25.0
"""Requests a second; half of the slots are busy with warm runs."""
KEYS_A_TARGET = 8
WORK_MS = 640.0
LATENCY_MS = 500
DEADLINE_MS = 3_000
SETTLED_S = 4.0
"""When caches are warm, and figures begin."""
STRUCK_S = 6.0
"""When targets first say something."""
PLAYED_S = 16.0
ALL_REST_S = 2.0
"""The rest that all targets ask for."""
SHED_S = 0.5
"""For how long they do."""
STEP_S = 0.25
"""Step in which recovery is looked at, in seconds."""
FULL_SHARE = 0.97
"""Of the use before, from which on it counts as full again."""


def _trouble(
    kind: TroubleKind, at: float, for_s: float, share: float, x: float
) -> TroubleSpec:
    return TroubleSpec(kind=kind, at=at, for_s=for_s, share=share, x=x)


CASES: dict[str, list[TroubleSpec]] = {
    "leave": [_trouble(TroubleKind.LEAVE, STRUCK_S, 1.0, 0.3, 1.0)],
    "rest": [_trouble(TroubleKind.REST, STRUCK_S, 6.0, 0.3, 2.5)],
    "all": [_trouble(TroubleKind.REST, STRUCK_S, SHED_S, 1.0, ALL_REST_S)],
    "series": [
        _trouble(TroubleKind.REST, 6.0, 2.0, 0.2, 2.5),
        _trouble(TroubleKind.REST, 7.0, 2.0, 0.2, 1.0),
        _trouble(TroubleKind.LEAVE, 7.5, 1.0, 0.15, 1.0),
        _trouble(TroubleKind.RESTART, 8.0, 1.0, 0.2, 1.0),
        _trouble(TroubleKind.BURST, 9.0, 2.0, 1.0, 1.3),
        _trouble(TroubleKind.REST, 11.0, 1.0, 0.2, 2.5),
    ],
    "overload": [
        _trouble(TroubleKind.BURST, STRUCK_S, 4.0, 1.0, 4.0),
    ],
}
"""What is played, by name. Under overload, targets ask for rest when they are full."""
FULL_REST_S = 2.0
SHORT_QUEUE = 2
"""What targets ask for, and how many they let wait, under overload."""


class ReportPlan(msgspec.Struct, frozen=True):
    """What is played, and how entries decide."""

    entries: int
    case: str = "rest"
    way: str = "told"
    seed: int = 1


class ReportFigures(msgspec.Struct):
    """What one run shows."""

    broken: int = 0
    """Entries that did not heed a target, over all targets."""
    served: float = 0.0
    """Part of the requests that was served, from when targets first say something."""
    in_time: float = 0.0
    """The same, within the latency target."""
    before: float = 0.0
    """Part that was served in time before that."""
    back_s: float = 0.0
    """Time from the end of the last rest until as much is served in time again as
    before; -1 for never."""
    repeats: int = 0
    """Retries at another target."""

    def line(self) -> str:
        """Return the figures by name on one line."""
        names = self.__struct_fields__
        return " ".join(f"{name}={getattr(self, name):.3f}" for name in names)


class _TimedResult(Result):
    """Keeps when each request was sent, and what became of it."""

    def __init__(self, seconds: float) -> None:
        super().__init__(seconds)
        self.ends: list[tuple[float, str]] = []

    def record(
        self, sent_at: float, outcome: str, worth: float, earned: float, took_ms: float
    ) -> None:
        super().record(sent_at, outcome, worth, earned, took_ms)
        self.ends.append((sent_at, outcome))

    def share(self, *outcomes: str, since: float = 0.0, until: float = 1e9) -> float:
        """Return the part of the requests of a span that ended so."""
        found = [o for at, o in self.ends if since <= at < until]
        return sum(o in outcomes for o in found) / max(len(found), 1)


def _experiment(plan: ReportPlan) -> Experiment:
    of_region = plan.entries // len(REGIONS)
    targets = max(round(of_region * TARGETS_A_ENTRY), 2)
    service = ServiceSpec(
        name="look",
        targets=dict.fromkeys(REGIONS, targets),
        slots=SLOTS,
        queue=SHORT_QUEUE if plan.case == "overload" else 27,
    )
    load = LoadSpec(
        name="look-up",
        service="look",
        rate=RATE_AN_ENTRY * of_region,
        work_ms=WORK_MS,
        target_latency_ms=LATENCY_MS,
        deadline_ms=DEADLINE_MS,
        keys=KEYS_A_TARGET * targets,
        swing=0.0,
        priority=2,
    )
    return Experiment(
        name=plan.case,
        site=SiteSpec(entries=dict.fromkeys(REGIONS, of_region), region_ms=35.0),
        service=[service],
        load=[load],
        seconds=PLAYED_S,
        trouble=CASES[plan.case],
    )


def _admit_at_once(availability: Availability, *given: object) -> bool:
    """Let any number go once a rest is over."""
    return availability.open(given[-1])  # type: ignore[arg-type]


WAYS: dict[str, AbstractContextManager[object]] = {
    "told": nullcontext(),
    "ignored": patch.object(Availability, "open", lambda *_: True),
    "at-once": patch.object(Availability, "admits", _admit_at_once),
}
"""What is in force, and what it is weighed against: words are ignored; after a rest,
any number goes at once."""


def play_reports(plan: ReportPlan) -> ReportFigures:
    """Play a plan, and return its figures."""
    with WAYS[plan.way]:
        site = EmulatedSite(_experiment(plan), plan.seed)
        result = site.result = _TimedResult(PLAYED_S)
        if plan.case == "overload":
            for target in site.targets:
                target.full_rest_s = FULL_REST_S
        site.start()
        for load in site.experiment.load:
            for place, region in enumerate(REGIONS):
                EmulatedClients(site, load, region, place).start()
        for number, spec in enumerate(site.experiment.trouble):
            EmulatedTrouble(site, spec, site.generator(f"trouble {number}")).plan()
        site.clock.run(PLAYED_S + DEADLINE_MS / 1000)
        site.count_runs()
    return _figures(site, result)


def _figures(site: EmulatedSite, result: _TimedResult) -> ReportFigures:
    before = result.share("in_time", since=SETTLED_S, until=STRUCK_S)
    after = (STRUCK_S, PLAYED_S)
    return ReportFigures(
        broken=sum(_broken(site, target) for target in site.targets),
        served=result.share("in_time", "late", since=after[0], until=after[1]),
        in_time=result.share("in_time", since=after[0], until=after[1]),
        before=before,
        back_s=_back_s(site, result, before),
        repeats=result.repeats,
    )


def _broken(site: EmulatedSite, target: EmulatedTarget) -> int:
    """Count the entries that did not heed a target.

    One that was away when the target answered it knows nothing of the answer.
    """
    restarts = defaultdict(list)
    for name, at in site.restarted:
        restarts[name].append(at)

    def excused(entry: str, since: float, until: float) -> bool:
        return any(at <= until and since <= at + RESTART_S for at in restarts[entry])

    arrivals = [
        EntryArrival(
            one.sender,
            one.arrived,
            UpstreamArrival("", one.arrived, one.answered, one.leaving, one.rest_s),
        )
        for one in sorted(target.arrivals, key=lambda one: one.arrived)
    ]
    return len(list(report_breaches(target.target.name, arrivals, excused)))


def _back_s(site: EmulatedSite, result: _TimedResult, before: float) -> float:
    """Return when as much is served again as before, from the end of the last rest."""
    ends = [
        one.answered + one.rest_s
        for target in site.targets
        for one in target.arrivals
        if one.rest_s
    ]
    end = max(ends, default=STRUCK_S)
    at = end
    while at < PLAYED_S - STEP_S:
        now = result.share("in_time", since=at, until=at + STEP_S)
        if now >= FULL_SHARE * before:
            return at - end
        at += STEP_S
    return -1.0
