# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Structured event log of an entry: one method per kind of event.

Each line is one JSON object. A token bucket limits the lines of each kind; the next
line of a kind reports the number of suppressed lines in `left_out`.

Owns the rate limiters of the kinds; they are lost with the process. Relies on
`log_writer`, which drops lines rather than wait for a slow reader.
"""

import time
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import msgspec

from leverdoor.entry.log_writer import LineRateLimiter, LineWriter
from leverdoor.errors import Refusal
from leverdoor.model.position import Position
from leverdoor.quarantine.fingerprint import fingerprint_text

if TYPE_CHECKING:
    from leverdoor.entry.admission.room_admission import ShedChange
    from leverdoor.entry.links.link_table import LinkChange
    from leverdoor.entry.placement.placement_request import Placement, PlacementRequest
    from leverdoor.quarantine.quarantine import Hold, QuarantineChange

__all__ = ["Events"]


MAX_LOGGED_CHARACTERS = 80
"""Maximum characters logged of an external text, enough to locate its origin."""


class Events:
    """The event log of one entry, with one method for each kind of event.

    Some fields of `attempt` need explanation: `load_age_ms` is the time since the
    newest report or digest about the target arrived, not the age of the counted load;
    `rank` is the target's position in its region's order for the key; `seen` means that
    some entry has received an answer for the key from the target; `limit_per_s` is the
    target's limit as known to the entry, null for none; `via` is the peer that carried
    the connection, "" if it was direct; `version` is the version of the
    configuration that routed the request; `slowness` is the duration of work at the
    target when it was selected, relative to usual.
    """

    def __init__(self, writer: LineWriter, entry: str) -> None:
        """Create the log.

        Args:
          writer: writes the lines.
          entry: this entry's name.
        """
        self._writer = writer
        self._entry = entry
        self._limiters: dict[str, LineRateLimiter] = {}

    def emit(self, kind: str, **fields: Any) -> None:
        """Write one line of a kind unless its rate limit suppresses it."""
        now = time.monotonic()
        limiter = self._limiters.get(kind)
        if limiter is None:
            limiter = self._limiters[kind] = LineRateLimiter(now)
        if not limiter.try_take(now):
            return
        line: dict[str, Any] = {"t": round(time.time(), 3), "event": kind}
        line["entry"] = self._entry
        line.update(fields)
        if limiter.left_out:
            line["left_out"] = limiter.left_out
            limiter.left_out = 0
        self._writer.write(msgspec.json.encode(line) + b"\n")

    # Requests.

    def attempt(
        self,
        request: "PlacementRequest",
        placement: "Placement",
        attempt: int,
        outcome: str,
        took_s: float,
        via: str,
    ) -> None:
        """Log the end of an attempt to execute a request at a target.

        Failed attempts are a separate kind with its own rate limit, so that the many
        successful ones do not suppress them.
        """
        self.emit(
            "attempt" if outcome.startswith("2") else "attempt_failed",
            request_id=request.request_id,
            route=request.route.name,
            service=request.service,
            key=request.key,
            fingerprint=fingerprint_text(request.fingerprint),
            version=request.version,
            target=placement.target.name,
            region=placement.target.region,
            attempt=attempt,
            reason=placement.reason,
            load=round(placement.load, 1),
            slots=placement.target.slots,
            load_age_ms=placement.load_age_ms,
            rank=placement.rank,
            seen=placement.seen,
            cold_share=round(placement.cold_share, 2),
            limit_per_s=placement.limit_per_s,
            slowness=round(placement.slowness, 2),
            expected_ms=round(placement.expected_ms),
            latency_target_ms=request.route.target_latency_ms,
            took_ms=round(took_s * 1000),
            outcome=outcome,
            via=via,
        )

    def refused(
        self,
        request_id: str,
        service: str,
        workspace: str,
        fingerprint: int,
        refusal: Refusal,
        version: str,
        took_s: float,
    ) -> None:
        """Log that the entry refused a request.

        The field `service` is "" if the request was not routed, `workspace` is "" if it
        has none, and `fingerprint` is "" if its body was not read.
        """
        self.emit(
            "refused",
            request_id=request_id,
            service=service,
            workspace=workspace,
            fingerprint=fingerprint_text(fingerprint),
            code=int(refusal.code),
            name=refusal.code.name,
            run=refusal.run.value,
            detail=refusal.detail,
            retry_after_ms=refusal.retry_after_ms,
            version=version,
            took_ms=round(took_s * 1000),
        )

    def client_left(self, request_id: str, service: str, took_s: float) -> None:
        """Log that a client disconnected before its response."""
        took_ms = round(took_s * 1000)
        self.emit(
            "client_left", request_id=request_id, service=service, took_ms=took_ms
        )

    def connections_evicted(self, cause: str, count: int) -> None:
        """Log that client connections gave way to others.

        `cause` is "memory" or "descriptors", of which all of them took too much.
        """
        self.emit("connections_evicted", cause=cause, count=count)

    # Configuration, targets and peers.

    def configuration(
        self,
        version: str,
        revision: int,
        routes: int,
        targets: int,
        source: str,
        confirmed_ms: int,
    ) -> None:
        """Log that a newer configuration is in force; `source` is a peer or the store.

        `confirmed_ms` is the age of the newest known store answer when the change
        arrived, -1 for none.
        """
        self.emit(
            "configuration",
            version=version,
            revision=revision,
            routes=routes,
            targets=targets,
            source=source,
            confirmed_ms=confirmed_ms,
        )

    def targets(
        self,
        came: list[str],
        gone: list[str],
        cold: list[str],
        expired: list[str],
        revision: int,
    ) -> None:
        """Log changes of the set of targets.

        `came` are new targets, `gone` those that left or were evacuated, and `cold`
        those that became cold. Targets in `expired` have had no registration since an
        outage of the store; the entry continues to use them for a short time.
        """
        self.emit(
            "targets",
            came=came,
            gone=gone,
            cold=cold,
            expired=expired,
            revision=revision,
        )

    def registration_left_out(
        self, name: str, cause: str, detail: str, unlogged: int
    ) -> None:
        """Log a registration without a usable target; its name may be any text.

        `unlogged` counts the registrations whose log lines were recently suppressed.
        """
        self.emit(
            "registration_left_out",
            name=name[:MAX_LOGGED_CHARACTERS],
            cause=cause,
            detail=detail[:MAX_LOGGED_CHARACTERS],
            unlogged=unlogged,
        )

    def homeless(self, count: int, pairs: list[tuple[str, str]]) -> None:
        """Log that a configuration has routes and workspaces without a common home."""
        self.emit("homeless", count=count, pairs=pairs)

    def target_ejected(self, target: str, reason: str, ejected_s: float) -> None:
        """Log that a target is ejected and receives no requests for `ejected_s`."""
        self.emit(
            "target_ejected",
            target=target,
            reason=reason,
            ejected_s=round(ejected_s, 2),
        )

    def links(self, change: "LinkChange") -> None:
        """Log that links to targets were lost, or are regained.

        `service` and `region` are those of the targets, "" for any. `lost_links` is the
        number of lost links to single targets; `hangs` tells whether new connections
        hang or are refused.
        """
        self.emit("links", **msgspec.structs.asdict(change))

    def target_limit(
        self, target: str, change: str, per_s: float | None, source: str
    ) -> None:
        """Log that a target set, changed or removed its limit for all entries together.

        `change` is "named" (set), "changed" or "ended" (removed). `source` is "answer"
        if this entry
        received the limit, "peer" if another entry did.
        """
        self.emit(
            "target_limit", target=target, change=change, per_s=per_s, source=source
        )

    def limit_unreadable(self, target: str, text: str) -> None:
        """Log a malformed limit of a target; its previous limit remains in force."""
        self.emit("limit_unreadable", target=target, text=text[:MAX_LOGGED_CHARACTERS])

    def target_leaving(self, target: str) -> None:
        """Log that a target announced in a response that it leaves; once per target."""
        self.emit("target_leaving", target=target)

    def target_rest(self, target: str, rest_s: float) -> None:
        """Log that a target rejected a request and asked this entry to pause."""
        self.emit("target_rest", target=target, rest_s=round(rest_s, 3))

    def target_slowness(self, target: str, slowness: float) -> None:
        """Log that work takes longer at a target than usual, or as long as usual again.

        `slowness` is the duration of work there, relative to usual.
        """
        self.emit("target_slowness", target=target, slowness=round(slowness, 2))

    def report_unreadable(self, target: str, what: str, text: str) -> None:
        """Log a malformed report of a target about itself; the report is ignored.

        `what` is "leaving", "rest" or "load".
        """
        self.emit(
            "report_unreadable",
            target=target,
            what=what,
            text=text[:MAX_LOGGED_CHARACTERS],
        )

    def target_checked(
        self, target: str, service: str, found: str, lost: int, took_s: float
    ) -> None:
        """Log the check of a target that closed connections without a response.

        `found` is "ended" if the target refuses connections, "serves" if it accepts
        them, and "silent" otherwise. `lost` counts the responses that this entry lost
        while the target was in service.
        """
        self.emit(
            "target_checked",
            target=target,
            service=service,
            found=found,
            lost=lost,
            took_ms=round(took_s * 1000),
        )

    def quarantine(self, change: "QuarantineChange") -> None:
        """Log that a request is quarantined or released.

        `ends` are the known ends of targets attributed to the request. `tries` is the
        number of remaining trial executions, which show whether it is harmless.
        """
        self.emit(
            "quarantine",
            change=change.change,
            fingerprint=fingerprint_text(change.fingerprint),
            source=change.source,
            ends=change.ends,
            tries=change.tries,
        )

    def quarantine_try(self, hold: "Hold") -> None:
        """Log the trial execution of a quarantined request that may be harmless."""
        self.emit(
            "quarantine_try",
            fingerprint=fingerprint_text(hold.fingerprint),
            tries_left=hold.tries - 1,
        )

    def connections_forgotten(self, service: str) -> None:
        """Log that a service's targets reset idle connections.

        From then on, the entry reuses only connections that were idle briefly.
        """
        self.emit("connections_forgotten", service=service)

    def peer(self, name: str, change: str, silent_s: float) -> None:
        """Log that another entry's heartbeats resumed or have been missing too long."""
        self.emit("peer", peer=name, change=change, silent_s=round(silent_s, 2))

    def shares(self, service: str, shares: dict[str, float]) -> None:
        """Log that the regions' shares of a service's keys changed."""
        self.emit(
            "shares",
            service=service,
            shares={r: round(v, 2) for r, v in shares.items()},
        )

    def shed_level(self, change: "ShedChange") -> None:
        """Log which priorities of a service are now refused at once in a region.

        `utilization` is the load over the slots of the region's usable targets.
        """
        self.emit(
            "shed_level",
            service=change.service,
            region=change.region,
            level=change.level,
            refused=change.refused,
            utilization=round(change.utilization, 2),
        )

    # Dependencies and the process.

    def fetch(
        self, peer: str, newer: bool, since: Position, now: Position, took_s: float
    ) -> None:
        """Log that a state fetch from another entry was slow or returned nothing newer.

        `since` is the local position when the fetch began, `now` the current one.
        """
        self.emit(
            "fetch",
            peer=peer,
            newer=newer,
            since=since.revision,
            revision=now.revision,
            era=now.era,
            took_ms=round(took_s * 1000),
        )

    def store(self, change: str, revision: int, era: int, detail: str = "") -> None:
        """Log that the store became unreachable ("lost") or "answers" again.

        `revision` is that of the state in force, `era` that of the store's newest
        response to this entry.
        """
        self.emit("store", change=change, revision=revision, era=era, detail=detail)

    def store_restored(
        self, change: str, position: Position, kept: Mapping[str, int]
    ) -> None:
        """Log that the store is back as a copy without its latest changes.

        `change` is "returned" at the first state of the new era, "written again" once
        the store holds again what is in force, and "given up" if what nobody wrote
        again went out of force. `kept` counts by kind the records in force that the
        store does not hold; with "given up", those that went.
        """
        self.emit(
            "store_restored",
            change=change,
            era=position.era,
            revision=position.revision,
            kept=kept,
        )

    def process(self, change: str, **fields: Any) -> None:
        """Log an event of the process, such as its start or a failed record write."""
        self.emit("process", change=change, **fields)
