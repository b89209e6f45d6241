# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Where requests were lost: late, refused, failed or left, each with its cause.

Only what entries logged is used. Whether a run was cold follows from its time,
and not from what the entry expected when it chose the target; how often the two
differ is part of the report. A request here is one attempt of a client: when a
client retries, that is another request with an id of its own.

Owns no state. Relies on `request_log` for the events of each request, and on the
placement's own way to separate the times of warm runs from those of cold ones.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import Any

import msgspec

from leverdoor.analysis.log_lines import BadLine, Log
from leverdoor.analysis.request_log import (
    AttemptEvent,
    EntryPlace,
    LeftEvent,
    LoggedRequest,
    RefusalEvent,
    RequestLog,
    gather,
)
from leverdoor.entry.placement.run_times import RunTimeClusters, initial_run_times
from leverdoor.errors import Code, LeverdoorError

__all__ = ["Cause", "Kind", "Loss", "LossReport", "find_losses", "summarize"]

ALIKE_COLD = 0.5
"""Expected share of cold runs from which on an entry expected a cold run."""
PASSES = 2
"""Times that the runs are gone through to find the two clusters of their times.

The first pass moves the clusters from their first guess, the second settles them.
"""
STORE_AWAY_S = 10.0
"""How long after a loss of the store an entry without configuration waits for it."""


class Kind(StrEnum):
    """How a request was lost."""

    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


class Cause(StrEnum):
    """Why a request was lost; the list is closed."""

    COLD_RUN = "cold run"
    WAITED = "waited at the target"
    CROSSED = "crossed regions"
    REPEATED = "repeated"
    SLOW_RUN = "slow run"
    NO_ROOM = "no room"
    NO_TARGET = "no target"
    NOT_REACHED = "target not reached"
    ANSWER_LOST = "answer lost"
    TARGET_FAILED = "target failed"
    SHED = "target shed"
    TIME_OVER = "time over"
    STARTING = "entry starting"
    STORE_AWAY = "store away"
    NOT_ROUTED = "not routed"
    KEY_REFUSED = "key missing or unknown"
    OVER_QUOTA = "over quota"
    QUARANTINED = "held back"
    LIMITED = "targets' limits"
    RESTING = "targets rest"
    CLIENT_LEFT = "client left"


_REFUSAL_CAUSES = {
    Code.QUEUE_FULL: Cause.NO_ROOM,
    Code.SHED_BY_TIER: Cause.NO_ROOM,
    Code.NO_TARGET: Cause.NO_TARGET,
    Code.CONNECT_FAILED: Cause.NOT_REACHED,
    Code.TARGETS_UNREACHABLE: Cause.NOT_REACHED,
    Code.ANSWER_LOST: Cause.ANSWER_LOST,
    Code.TARGET_REFUSED: Cause.SHED,
    Code.DEADLINE_PASSED: Cause.TIME_OVER,
    Code.NO_CONFIGURATION: Cause.STARTING,
    Code.WORKSPACE_KEY_MISSING: Cause.KEY_REFUSED,
    Code.WORKSPACE_KEY_UNKNOWN: Cause.KEY_REFUSED,
    Code.NO_COMMON_HOME: Cause.NO_TARGET,
    Code.QUOTA_EXCEEDED: Cause.OVER_QUOTA,
    Code.QUARANTINED: Cause.QUARANTINED,
    Code.TARGETS_LIMITED: Cause.LIMITED,
    Code.TARGETS_RESTING: Cause.RESTING,
    Code.REGION_FULL: Cause.NO_ROOM,
}
"""Causes by the code of a refusal; any other means that it was not routed."""

_FAILED_CODES = frozenset({Code.ANSWER_LOST, Code.DEADLINE_PASSED})
"""Codes after which the request may have run."""


class Loss(msgspec.Struct, frozen=True):
    """One request that was lost."""

    at: float
    """When it ended, in seconds since the first event of the logs."""
    request_id: str
    service: str
    region: str
    """Region of the entry that took it; "" if its start is not in the logs."""
    domain: str
    kind: Kind
    cause: Cause


class LossReport(msgspec.Struct, frozen=True):
    """What logs say of lost requests."""

    requests: int
    """Requests that the logs name."""
    losses: list[Loss]
    left_out: dict[str, int]
    """By event, lines that the logs' own bounds left out."""
    bad: list[BadLine]
    runs: int
    """Answered runs at targets."""
    believed_warm_ran_cold: int
    believed_cold_ran_warm: int


class _Times:
    """The times of warm and cold runs that a log shows, by route and service."""

    def __init__(self, log: RequestLog) -> None:
        """Learn them from the answered runs that had a slot at once."""
        self._by_key: dict[tuple[str, str], RunTimeClusters] = {}
        runs: dict[tuple[str, str], list[AttemptEvent]] = defaultdict(list)
        for run in _runs_at_once(log):
            runs[run.route, run.service].append(run)
        for key, attempts in runs.items():
            times = initial_run_times(attempts[0].latency_target_ms)
            for _ in range(PASSES):
                for attempt in attempts:
                    times.learn(attempt.took_ms)
            self._by_key[key] = times

    def was_cold(self, run: AttemptEvent) -> bool:
        """Return whether a run's time is that of a cold one, as far as is known."""
        times = self._by_key.get((run.route, run.service))
        return times is not None and times.is_cold(run.took_ms)


def find_losses(log: Log) -> LossReport:
    """Find the lost requests of some logs.

    Raises:
      LeverdoorError: MALFORMED, if the logs name no request of an entry.
    """
    found = gather(log)
    if not found.requests:
        bad = found.bad
        why = f"; {bad[0].why} in line {bad[0].number}" if bad else ""
        raise LeverdoorError(Code.MALFORMED, f"no request of an entry is named{why}")
    times = _Times(found)
    began = log.events[0].at
    losses = []
    for request_id, request in found.requests.items():
        loss = _judge(request_id, request, found, times, began)
        if loss is not None:
            losses.append(loss)
    runs, ran_cold, ran_warm = _mistaken(found, times)
    return LossReport(
        len(found.requests),
        losses,
        found.left_out,
        found.bad,
        runs,
        ran_cold,
        ran_warm,
    )


def summarize(losses: Iterable[Loss], by: tuple[str, ...]) -> list[dict[str, Any]]:
    """Count losses by some of their fields, the most frequent first.

    Args:
      losses: the lost requests.
      by: names of fields of `Loss`; "second" is the whole second of `at`.
    Returns: rows with these fields and a count.
    """
    counts: Counter[tuple[Any, ...]] = Counter()
    for loss in losses:
        counts[tuple(_field(loss, name) for name in by)] += 1
    return [
        dict(zip(by, key, strict=True)) | {"requests": count}
        for key, count in counts.most_common()
    ]


def _field(loss: Loss, name: str) -> Any:
    return int(loss.at) if name == "second" else getattr(loss, name)


def _runs_at_once(log: RequestLog) -> Iterator[AttemptEvent]:
    """Yield answered runs in the entry's own region that had a slot at once."""
    for request in log.requests.values():
        place = log.places.get(request.entry)
        for _, run in request.attempts:
            near = place is None or place.region == run.region
            if run.answered and run.load < run.slots and near:
                yield run


def _mistaken(log: RequestLog, times: _Times) -> tuple[int, int, int]:
    """Count runs with a slot at once, and those that were not as was expected.

    Returns: all of them, those that ran cold unexpectedly, and those warm.
    """
    runs = ran_cold = ran_warm = 0
    for run in _runs_at_once(log):
        runs += 1
        cold = times.was_cold(run)
        expected_cold = run.cold_share >= ALIKE_COLD
        ran_cold += cold and not expected_cold
        ran_warm += expected_cold and not cold
    return runs, ran_cold, ran_warm


def _judge(
    request_id: str,
    request: LoggedRequest,
    log: RequestLog,
    times: _Times,
    began: float,
) -> Loss | None:
    """Return how and why a request was lost, or None if it was not."""
    found = _kind_and_cause(request, log, times)
    if found is None:
        return None
    kind, cause = found
    at, service = _ended(request)
    place = log.places.get(request.entry, EntryPlace("", ""))
    return Loss(
        at=round(at - began, 3),
        request_id=request_id,
        service=service,
        region=place.region,
        domain=place.domain,
        kind=kind,
        cause=cause,
    )


def _ended(request: LoggedRequest) -> tuple[float, str]:
    """Return when a request ended, as time of day in seconds, and its service."""
    if request.end is None:
        at, last = request.attempts[-1]
        return at, last.service
    at, end = request.end
    attempted = request.attempts[-1][1].service if request.attempts else ""
    return at, end.service or attempted


def _kind_and_cause(
    request: LoggedRequest, log: RequestLog, times: _Times
) -> tuple[Kind, Cause] | None:
    if request.end is not None:
        at, end = request.end
        if isinstance(end, LeftEvent):
            return Kind.LEFT, Cause.CLIENT_LEFT
        return _refused(at, end, log.store_lost.get(request.entry, []))
    at, last = request.attempts[-1]
    if not last.answered:
        return Kind.FAILED, Cause.TARGET_FAILED
    first_at, first = request.attempts[0]
    took_ms = (at - first_at) * 1000 + first.took_ms
    if not last.latency_target_ms or took_ms <= last.latency_target_ms:
        return None
    return Kind.LATE, _late(request, last, log, times)


def _refused(
    at: float, end: RefusalEvent, store_lost: list[float]
) -> tuple[Kind, Cause]:
    try:
        code = Code(end.code)
    except ValueError:
        return Kind.REFUSED, Cause.NOT_ROUTED
    cause = _REFUSAL_CAUSES.get(code, Cause.NOT_ROUTED)
    recent = any(0 <= at - lost <= STORE_AWAY_S for lost in store_lost)
    if cause is Cause.STARTING and recent:
        cause = Cause.STORE_AWAY
    kind = Kind.FAILED if code in _FAILED_CODES else Kind.REFUSED
    return kind, cause


def _late(
    request: LoggedRequest, last: AttemptEvent, log: RequestLog, times: _Times
) -> Cause:
    """Return why an answer came late."""
    if len(request.attempts) > 1:
        return Cause.REPEATED
    if last.load >= last.slots:
        return Cause.WAITED
    if times.was_cold(last):
        return Cause.COLD_RUN
    place = log.places.get(request.entry)
    if place is not None and place.region != last.region:
        return Cause.CROSSED
    return Cause.SLOW_RUN
