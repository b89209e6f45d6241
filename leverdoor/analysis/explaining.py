# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Explains afterwards what became of a request, from log lines alone.

Owns no state. Relies on the names of log events and of their fields, and on the names
of the numbered codes.
"""

from typing import Any

import msgspec

from leverdoor.analysis.log_lines import LogLine

__all__ = ["Explanation", "explain"]

CONTEXT_S = 30.0
"""Seconds before a request's own lines in which other events can bear on it.

Longer than an ejection of a target lasts; more would list what is over.
"""

_REQUEST_EVENTS = frozenset({"attempt", "attempt_failed", "refused", "client_left"})


class Explanation(msgspec.Struct, frozen=True):
    """A request's way and why it ended as it did."""

    request_id: str
    way: list[str]
    """What happened to it, in order."""
    beliefs: list[str]
    """Events of its entry shortly before that bear on it."""
    cause: str
    """One sentence."""


def explain(request_id: str, log: list[LogLine]) -> Explanation | None:
    """Explain one request.

    Args:
      request_id: its id.
      log: events of all entries, by time.
    Returns: None if no event names the request.
    """
    own = [e for e in log if e.fields.get("request_id") == request_id]
    if not own:
        return None
    entry = own[-1].entry
    began = own[0].at - own[0].fields.get("took_ms", 0) / 1000
    before = [
        e
        for e in log
        if e.entry == entry
        and began - CONTEXT_S <= e.at <= own[-1].at
        and e.event not in _REQUEST_EVENTS
    ]
    targets = {str(e.fields["target"]) for e in own if "target" in e.fields}
    beliefs = [b for e in before if (b := _context(e, began, targets))]
    way = [_step(e, began) for e in own]
    return Explanation(request_id, way, beliefs, _cause(own, before))


def _step(e: LogLine, began: float) -> str:
    f = e.fields
    when = f"+{(e.at - began) * 1000:.0f} ms {e.entry}"
    if e.event in ("attempt", "attempt_failed"):
        via = f" by way of {f['via']}" if f.get("via") else ""
        return (
            f"{when}: attempt {f['attempt']} at {f['target']} ({f['region']}){via} by"
            f" '{f['reason']}', load {f['load']}/{f['slots']} reported"
            f" {f['load_age_ms']} ms before, key {f['key']}"
            f" {'seen' if f['seen'] else 'not seen'} there, expected"
            f" {f['expected_ms']} ms, took {f['took_ms']} ms: {f['outcome']}"
        )
    if e.event == "refused":
        return (
            f"{when}: given up with {f['code']} {f['name']} (ran: {f['run']}) after"
            f" {f['took_ms']} ms by configuration {f['version']}: {f['detail']}"
        )
    return f"{when}: the client left after {f['took_ms']} ms"


def _context(e: LogLine, began: float, targets: set[str]) -> str:
    """Return what another event of the entry says, if it can bear on a request."""
    f = e.fields
    when = f"{began - e.at:.1f} s before" if e.at < began else "meanwhile"
    if e.event == "configuration":
        return f"{when}: configuration {f['version']} in force, from {f['source']}"
    if e.event == "target_ejected":
        mine = " (asked)" if f["target"] in targets else ""
        how = f"is ejected for {f['ejected_s']} s: {f['reason']}"
        return f"{when}: {f['target']}{mine} {how}"
    if e.event == "links":
        scope = " ".join(filter(None, (f["service"], f["region"]))) or "all targets"
        return f"{when}: links to {scope} {f['change']}, {f['lost_links']} lost now"
    if e.event == "targets":
        changes = [f"{k} {', '.join(f[k])}" for k in ("came", "gone", "cold") if f[k]]
        return f"{when}: targets {'; '.join(changes)}"
    if e.event == "store":
        return f"{when}: the store {f['change']} {f['detail']}".rstrip()
    if e.event == "peer":
        return f"{when}: entry {f['peer']} {f['change']}"
    if e.event == "target_checked":
        lost = f"{f['lost']} lost answers"
        return f"{when}: {f['target']} was looked at after {lost}: {f['found']}"
    if e.event == "target_limit":
        mine = " (asked)" if f["target"] in targets else ""
        limit = "no limit" if f["per_s"] is None else f"{f['per_s']} a second"
        how = f"limit {f['change']}: {limit}, by {f['source']}"
        return f"{when}: {f['target']}{mine} {how}"
    if e.event == "limit_unreadable":
        return f"{when}: {f['target']} named an unreadable limit: {f['text']}"
    if e.event == "target_leaving":
        return f"{when}: {f['target']} said that it leaves"
    if e.event == "target_rest":
        mine = " (asked)" if f["target"] in targets else ""
        return f"{when}: {f['target']}{mine} asked for {f['rest_s']} s of rest"
    if e.event == "target_slowness":
        mine = " (asked)" if f["target"] in targets else ""
        return (
            f"{when}: work takes {f['slowness']} times as long at {f['target']}{mine}"
        )
    if e.event == "report_unreadable":
        what = f"unreadable word on {f['what']}: {f['text']}"
        return f"{when}: {f['target']} sent an {what}"
    if e.event == "quarantine_try":
        return f"{when}: request {f['fingerprint']} was run once more, as a try"
    if e.event == "quarantine":
        why = f"by {f['source']}, {f['ends']} ends of targets known here"
        return f"{when}: request {f['fingerprint']} {f['change']} {why}"
    if e.event == "process":
        return f"{when}: process {f['change']}"
    return ""


def _cause(own: list[LogLine], before: list[LogLine]) -> str:
    last = own[-1]
    f = last.fields
    if last.event == "client_left":
        return f"The client left after {f['took_ms']} ms, before its answer."
    if last.event == "attempt":
        return f"It was answered {f['outcome']} by {f['target']}."
    if last.event == "attempt_failed":
        return f"{f['target']} answered {f['outcome']}, which was passed on."
    return _refusal_cause(own, before)


def _refusal_cause(own: list[LogLine], before: list[LogLine]) -> str:
    f = own[-1].fields
    attempts = [e.fields for e in own if e.event == "attempt_failed"]
    tried = attempts[-1]["target"] if attempts else ""
    rested = [e for e in before if e.event == "target_ejected"]
    match f["name"]:
        case "QUEUE_FULL":
            return f"No target had room in time: {f['detail']}."
        case "SHED_BY_TIER":
            return (
                f"Its region was full, more urgent requests went first: {f['detail']}."
            )
        case "TARGETS_LIMITED":
            return f"Targets' limits for all entries left no room: {f['detail']}."
        case "TARGETS_RESTING":
            return f"All targets that may serve it wanted rest: {f['detail']}."
        case "REGION_FULL":
            return f"The only region that may serve it was full: {f['detail']}."
        case "NO_TARGET":
            return (
                "No target in service may serve it: all are gone or leave, or its"
                " homes bind."
            )
        case "NO_ROUTE":
            return f"Configuration {f['version']} has no route for {f['detail']}."
        case "NO_CONFIGURATION":
            return "The entry had just started and knew no configuration yet."
        case "TARGETS_UNREACHABLE":
            return f"No target was reached, nor by way of a peer: {f['detail']}."
        case "CONNECT_FAILED":
            return (
                f"No connection to {tried} could be opened, and no other try was left."
            )
        case "TARGET_REFUSED":
            return f"{tried} turned it away unrun ({f['detail']}), no try was left."
        case "ANSWER_LOST":
            others = sum(e.fields["target"] == tried for e in rested)
            more = f"; {tried} failed {others} requests then" if others > 1 else ""
            return f"{tried} took it and its answer was lost ({f['detail']}){more}."
        case "QUARANTINED":
            return (
                f"Targets end when they run it ({f['detail']});"
                f" all attempts at it have fingerprint {f['fingerprint']}."
            )
        case "DEADLINE_PASSED":
            return _deadline_cause(attempts[-1] if attempts else {})
        case _:
            return f"{f['name']}: {f['detail']}."


def _deadline_cause(last: dict[str, Any]) -> str:
    """Return the sentence for a deadline that passed, from the last failed attempt."""
    load = f"{last.get('load', '?')}/{last.get('slots', '?')}"
    return (
        f"{last.get('target') or 'A target'} was still at work when the time was over"
        f" (load {load} when it was sent, expected"
        f" {last.get('expected_ms', '?')} ms)."
    )
