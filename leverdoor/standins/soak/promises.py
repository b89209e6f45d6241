# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which promises a record breaks: pure checks of what was seen.

Each check yields a line that begins with the promise's name. Owns no state; relies on
the sample routes and on the workspaces of the soak.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator

from leverdoor.standins.soak.limit_promise import limit_breaches
from leverdoor.standins.soak.record import Attempt, Probe, Record, RecordedRun
from leverdoor.standins.soak.workspaces import WORKSPACES, workspace_named
from leverdoor.workspaces.quota_bounds import QuotaBounds

__all__ = ["breaches"]

PROMISED_NOT_RUN = frozenset({408, 421, 429, 503})
SERVICE_OF = {"/look/": "look", "/file/": "file", "/mark-": "look"}
MOST_ATTEMPTS = 2
"""`max-attempts` of the sample routes."""
ENOUGH_ENDS = 3
"""Targets that may end before a request is to be known as the cause."""
CHECKED_S = 1.5
"""Seconds within which an entry finds out whether a target crashed."""
KNOWN_S = 4.0
"""Seconds within which all entries are to know it then."""
MOST_MORE = 3
"""Times that it may be sent on after that."""
MOST_CROSSING = 3
"""Requests at an entry that may cross the end of their connection."""
SEEN_S = 0.3
"""Seconds within which a caller sees that its connection has ended."""
QUIET_S = 4.0
"""Seconds before a planned stop without another disturbance, for it to count."""


def breaches(record: Record) -> list[str]:
    """Return one line for each promise that is broken, none if all hold."""
    sent = {a.request_id: a for a in record.attempts}
    ran: defaultdict[str, list[RecordedRun]] = defaultdict(list)
    for run in record.runs:
        ran[run.request_id].append(run)
    found = list(_answers(record, ran))
    found += _runs(record, sent)
    found += _counts(sent, ran)
    found += _workspaces(record, sent)
    found += _quotas(record)
    found += _leaves(record)
    found += _reverts(record)
    found += _stops(record, ran)
    found += _unanswered(record)
    found += _fatal(record)
    found += _harmless(record)
    found += limit_breaches(record)
    return found


def _answers(record: Record, ran: dict[str, list[RecordedRun]]) -> Iterator[str]:
    """Callers get the whole answer to their own request, or a failure of ours."""
    for a in record.attempts:
        if 200 <= a.status < 300:
            if not a.own:
                yield f"MIXED {a.request_id}: a success that is not its own"
            elif not ran.get(a.request_id):
                yield f"MIXED {a.request_id}: a success that no target ran"
        elif a.stamped:
            yield f"MIXED {a.request_id}: status {a.status} with a target's stamp"
        if a.once and a.status in PROMISED_NOT_RUN and ran.get(a.request_id):
            yield f"REFUSED {a.request_id}: status {a.status}, and it ran"


def _runs(record: Record, sent: dict[str, Attempt]) -> Iterator[str]:
    """Targets run only what callers sent, unaltered, where it belongs, in time."""
    for run in record.runs:
        a = sent.get(run.request_id)
        if a is None:
            yield f"UNASKED {run.request_id} at {run.target}"
            continue
        if run.path != a.path or run.digest != a.digest:
            yield f"UNASKED {run.request_id} at {run.target}: it was altered"
        if run.deadline_ms > a.deadline_ms:
            yield f"BUDGET {run.request_id}: {run.deadline_ms} ms were passed on"
        wanted = [s for prefix, s in SERVICE_OF.items() if a.path.startswith(prefix)]
        if run.service not in wanted:
            yield f"ROUTE {run.request_id}: run by {run.service}"


def _counts(
    sent: dict[str, Attempt], ran: dict[str, list[RecordedRun]]
) -> Iterator[str]:
    """What must run once runs once; the rest as often as its route allows."""
    for request_id, runs in ran.items():
        a = sent.get(request_id)
        if a is None:
            continue
        if a.once and len(runs) > 1:
            yield f"TWICE {request_id}: {', '.join(r.target for r in runs)}"
        if len(runs) > MOST_ATTEMPTS:
            yield f"BUDGET {request_id}: run {len(runs)} times"


def _workspaces(record: Record, sent: dict[str, Attempt]) -> Iterator[str]:
    """Targets learn whose a request is, never the key, and stand at home."""
    for run in record.runs:
        a = sent.get(run.request_id)
        if a is None:
            continue
        if run.keyed:
            yield f"UNASKED {run.request_id}: the key was passed on"
        if run.workspace != a.workspace:
            yield f"UNASKED {run.request_id}: run as {run.workspace or 'nobody'}"
        known = workspace_named(a.workspace)
        if known is not None and known.homes and run.region not in known.homes:
            yield f"HOME {run.request_id}: run in {run.region}"


def _quotas(record: Record) -> Iterator[str]:
    """In no window more requests of a workspace run than the bound allows."""
    window_s = QuotaBounds().window_s
    for workspace in WORKSPACES:
        bound = workspace.bound()
        times = sorted(r.at for r in record.runs if r.workspace == workspace.name)
        first = 0
        most = 0
        for last, at in enumerate(times):
            while times[first] <= at - window_s:
                first += 1
            most = max(most, last - first + 1)
        if bound and most > bound:
            yield f"QUOTA {workspace.name}: {most} in a window, {bound:.0f} allowed"


def _leaves(record: Record) -> Iterator[str]:
    """What left gets nothing new."""
    left = {leave.target: leave.at for leave in record.leaves}
    late = Counter(r.target for r in record.runs if r.at > left.get(r.target, r.at))
    for target, count in late.items():
        yield f"DRAIN {target}: {count} requests after it had to be left alone"


def _reverts(record: Record) -> Iterator[str]:
    """No entry goes back to an older configuration within one incarnation."""
    probes: defaultdict[tuple[str, int], list[Probe]] = defaultdict(list)
    for probe in record.probes:
        probes[probe.entry, probe.incarnation].append(probe)
    for (entry, _), found in probes.items():
        newest = 0
        by_end = sorted(found, key=lambda p: p.ended_at)
        ended = 0
        for probe in sorted(found, key=lambda p: (p.sent_at, p.ended_at, p.version)):
            while ended < len(by_end) and by_end[ended].ended_at < probe.sent_at:
                newest = max(newest, by_end[ended].version)
                ended += 1
            if probe.version < newest:
                yield f"CONFIG {entry}: {probe.version} after {newest}"


def _stops(record: Record, ran: dict[str, list[RecordedRun]]) -> Iterator[str]:
    """A planned stop cuts nothing that was passed on."""
    for entry, began, ended in record.stops:
        disturbed = any(
            name == entry and start < ended and until > began - QUIET_S
            for name, start, until in record.unplanned
        )
        if disturbed:
            continue
        for a in record.attempts:
            cut = a.entry == entry and a.status == 0 and a.connected and not a.left
            if cut and began <= a.ended_at <= ended and ran.get(a.request_id):
                yield f"LOST {a.request_id}: cut by the planned stop of {entry}"


def _unanswered(record: Record) -> Iterator[str]:
    """An entry that nobody disturbs answers each request that reaches it.

    A few may cross the end of a connection that the entry closes.
    """
    lost = Counter(
        a.entry
        for a in record.attempts
        if a.status == 0 and a.connected and not a.left and _could_answer(record, a)
    )
    for entry, count in lost.items():
        if count > MOST_CROSSING:
            yield f"LOST {count} requests without an answer at {entry}"


def _could_answer(record: Record, a: Attempt) -> bool:
    """Return whether an entry listened, and was neither disturbed nor stopped."""
    refused = any(
        name == a.entry and abs(at - a.ended_at) < SEEN_S
        for name, at in record.ways_refused
    )
    return not refused and not any(
        name == a.entry and began <= a.ended_at and ended >= a.sent_at - SEEN_S
        for name, began, ended in (*record.unplanned, *record.stops)
    )


def _fatal(record: Record) -> Iterator[str]:
    """A request that ends its targets is sent on a few times at most.

    Times after the third end and the time within which all entries are to know of it,
    by entries that ran undisturbed for as long: one that has just been started knows
    what the others and the store tell it. An entry whose links to targets are cut can
    tell no crash from a lost link, until it has links again.
    """
    entry = {a.request_id: a.entry for a in record.attempts}
    for path in record.fatal:
        runs = sorted((r for r in record.runs if r.path == path), key=lambda r: r.at)
        seen = [
            r
            for r in runs
            if not record.had_links_cut(entry[r.request_id], r.at, r.at + CHECKED_S)
        ]
        if len(seen) < ENOUGH_ENDS:
            continue
        known_at = seen[ENOUGH_ENDS - 1].at + KNOWN_S
        late = [r for r in runs if r.at > known_at and _is_well(record, entry, r)]
        if len(late) > MOST_MORE:
            yield f"BUDGET {path}: sent {len(late)} times more, {len(runs)} ended"


def _is_well(record: Record, entry: dict[str, str], run: RecordedRun) -> bool:
    """Return whether the entry that sent a run was undisturbed for `KNOWN_S`."""
    name = entry[run.request_id]
    if record.was_disturbed(name, KNOWN_S, run.at):
        return False
    return not record.had_links_cut(name, run.at - KNOWN_S, run.at)


def _harmless(record: Record) -> Iterator[str]:
    """No request is held back but those that end targets."""
    held = Counter(
        a.path
        for a in record.attempts
        if a.code == "QUARANTINED" and a.path not in record.fatal
    )
    for path, count in held.items():
        yield f"HELD {path}: {count} harmless requests were turned away"
