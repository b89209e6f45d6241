# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Gathers the events of entries' logs by request.

Only the fields that judging a request needs are decoded. Owns no state; relies on
the names of log events and of their fields.
"""

from collections import Counter, defaultdict
from typing import Any

import msgspec

from leverdoor.analysis.log_lines import BadLine, Log, LogLine

__all__ = [
    "AttemptEvent",
    "EntryPlace",
    "LeftEvent",
    "LoggedRequest",
    "RefusalEvent",
    "RequestLog",
    "gather",
]


class AttemptEvent(msgspec.Struct, frozen=True):
    """The fields of a logged attempt that are needed here."""

    request_id: str
    route: str
    service: str
    region: str
    load: float
    slots: int
    cold_share: float
    took_ms: float
    latency_target_ms: float
    outcome: str

    @property
    def answered(self) -> bool:
        """Return whether the target answered with success."""
        return self.outcome.startswith("2")


class RefusalEvent(msgspec.Struct, frozen=True):
    """The fields of a logged refusal that are needed here."""

    request_id: str
    code: int
    service: str = ""


class LeftEvent(msgspec.Struct, frozen=True):
    """A client that left before its answer."""

    request_id: str
    service: str = ""


class EntryPlace(msgspec.Struct, frozen=True):
    """Where an entry stands."""

    region: str
    domain: str


class LoggedRequest(msgspec.Struct):
    """All that the logs say of one request; times of day in seconds."""

    entry: str
    attempts: list[tuple[float, AttemptEvent]]
    end: "tuple[float, RefusalEvent | LeftEvent] | None" = None


class RequestLog(msgspec.Struct, frozen=True):
    """The requests of some logs, and what bears on why they were lost."""

    requests: dict[str, LoggedRequest]
    places: dict[str, EntryPlace]
    """By entry; only of those whose start is in the logs."""
    store_lost: dict[str, list[float]]
    """By entry, when it lost the store; time of day in seconds."""
    left_out: dict[str, int]
    """By event, lines that the logs' own bounds left out."""
    bad: list[BadLine]


_EVENTS: dict[str, Any] = {
    "attempt": AttemptEvent,
    "attempt_failed": AttemptEvent,
    "refused": RefusalEvent,
    "client_left": LeftEvent,
}


def gather(log: Log) -> RequestLog:
    """Gather a log by request."""
    bad = list(log.bad)
    requests = _requests(log.events, bad)
    return RequestLog(
        requests, _places(log.events), _store_lost(log.events), _left_out(log), bad
    )


def _requests(events: list[LogLine], bad: list[BadLine]) -> dict[str, LoggedRequest]:
    """Gather events by request; those without their fields are added to `bad`."""
    found: dict[str, LoggedRequest] = {}
    for event in events:
        kind = _EVENTS.get(event.event)
        if kind is None:
            continue
        try:
            fields = msgspec.convert(event.fields, kind)
        except msgspec.ValidationError as e:
            bad.append(BadLine(event.number, f"{event.event}: {e}"))
            continue
        request = found.setdefault(fields.request_id, LoggedRequest(event.entry, []))
        if isinstance(fields, AttemptEvent):
            request.attempts.append((event.at, fields))
        else:
            request.end = (event.at, fields)
    return found


def _places(events: list[LogLine]) -> dict[str, EntryPlace]:
    """Return where each entry stands, by the event of its start."""
    found = {}
    for event in events:
        if event.event == "process" and event.fields.get("change") == "start":
            region = str(event.fields.get("region", ""))
            domain = str(event.fields.get("domain", ""))
            found[event.entry] = EntryPlace(region, domain)
    return found


def _store_lost(events: list[LogLine]) -> dict[str, list[float]]:
    found: dict[str, list[float]] = defaultdict(list)
    for event in events:
        if event.event == "store" and event.fields.get("change") == "lost":
            found[event.entry].append(event.at)
    return found


def _left_out(log: Log) -> dict[str, int]:
    counts: Counter[str] = Counter()
    for event in log.events:
        counts[event.event] += int(event.fields.get("left_out", 0))
    return {event: count for event, count in counts.items() if count}
