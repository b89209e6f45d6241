# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Every event that an entry logs: named here, bounded, never blocking.

A line is one JSON object. Each kind has a budget of lines a second; what is left out is
counted in the next line of the kind (`suppressed`).

Owns the budgets of kinds, lost with the process. Relies on `log_writer`: a reader that
does not read costs lines, never time.
"""

import time
from typing import TYPE_CHECKING, Any

import msgspec

from leverdoor.entry.log_writer import LineRateLimiter, LineWriter
from leverdoor.errors import Refusal
from leverdoor.quarantine.fingerprint import fingerprint_text

if TYPE_CHECKING:
    from leverdoor.entry.placement.placement_request import Placement, PlacementRequest
    from leverdoor.quarantine.quarantine import Change, Hold

__all__ = ["Events"]


MAX_LOGGED_CHARACTERS = 80
"""Characters of a foreign text in a line: enough to find where it is set."""


class Events:
    """The log of one entry; one method for each kind of event.

    Fields of `attempt` whose names do not say all: `load_age_ms` is the time since the
    newest report or digest about the target arrived, not the age of what it counts;
    `rank` is the target's place in its region's order for the key; `seen` says that an
    entry had an answer for the key from there; `limit_per_s` is what the entry took the
    target's limit to be, null for none; `version` is the configuration by which
    the request was routed.
    """

    def __init__(self, writer: LineWriter, entry: str) -> None:
        """Create it.

        Args:
          writer: where lines go.
          entry: this entry's name.
        """
        self._writer = writer
        self._entry = entry
        self._limiters: dict[str, LineRateLimiter] = {}

    def emit(self, kind: str, **fields: Any) -> None:
        """Write one line of a kind, within its budget."""
        now = time.monotonic()
        limiter = self._limiters.get(kind)
        if limiter is None:
            limiter = self._limiters[kind] = LineRateLimiter(now)
        if not limiter.try_take(now):
            return
        line: dict[str, Any] = {"t": round(time.time(), 3), "event": kind}
        line["entry"] = self._entry
        line.update(fields)
        if limiter.suppressed:
            line["suppressed"] = limiter.suppressed
            limiter.suppressed = 0
        self._writer.write(msgspec.json.encode(line) + b"\n")

    # Requests.

    def attempt(
        self,
        request: "PlacementRequest",
        placement: "Placement",
        attempt: int,
        outcome: str,
        took_s: float,
    ) -> None:
        """A request was sent to a target and ended there.

        Attempts that did not succeed have a budget of their own, so that they are not
        left out for the many that did.
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
            expected_ms=round(placement.expected_ms),
            latency_target_ms=request.route.target_latency_ms,
            took_ms=round(took_s * 1000),
            outcome=outcome,
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
        """A request was given up on.

        Its service is "" if it was not routed, its workspace if it has none, its
        fingerprint if its body was not read.
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
        """A client left before its answer."""
        took_ms = round(took_s * 1000)
        self.emit(
            "client_left", request_id=request_id, service=service, took_ms=took_ms
        )

    # What the entry knows.

    def configuration(
        self,
        version: str,
        revision: int,
        routes: int,
        targets: int,
        source: str,
        confirmed_ms: int,
    ) -> None:
        """A newer configuration is in force; `source` is a peer or the store.

        `confirmed_ms` is the age of the store's newest answer that this entry knew of
        before it, -1 for none.
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
        """Targets came, went (by leaving or by an evacuation), or turned cold.

        Those that expired have had no registration since an outage of the store, and
        are used for a moment longer.
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
        """A registration names no target to use; its name may be anything.

        `unlogged` counts those for which there was no line in the last minutes.
        """
        self.emit(
            "registration_left_out",
            name=name[:MAX_LOGGED_CHARACTERS],
            cause=cause,
            detail=detail[:MAX_LOGGED_CHARACTERS],
            unlogged=unlogged,
        )

    def homeless(self, count: int, pairs: list[tuple[str, str]]) -> None:
        """A configuration has routes and workspaces without a common home."""
        self.emit("homeless", count=count, pairs=pairs)

    def target_ejected(self, target: str, reason: str, ejected_s: float) -> None:
        """A target is ejected: it gets nothing for a while."""
        self.emit(
            "target_ejected",
            target=target,
            reason=reason,
            ejected_s=round(ejected_s, 2),
        )

    def target_limit(
        self, target: str, change: str, per_s: float | None, source: str
    ) -> None:
        """A target named a limit for all entries together, another one, or none.

        `change` is "named", "changed" or "ended"; `source` says who received that:
        "answer" for this entry, "peer" for another one.
        """
        self.emit(
            "target_limit", target=target, change=change, per_s=per_s, source=source
        )

    def limit_unreadable(self, target: str, text: str) -> None:
        """A target named as its limit what is no number; its last one holds on."""
        self.emit("limit_unreadable", target=target, text=text[:MAX_LOGGED_CHARACTERS])

    def target_leaving(self, target: str) -> None:
        """A target said in an answer that it leaves; one line for each."""
        self.emit("target_leaving", target=target)

    def target_rest(self, target: str, rest_s: float) -> None:
        """A target turned a request away and asked this entry for rest."""
        self.emit("target_rest", target=target, rest_s=round(rest_s, 3))

    def report_unreadable(self, target: str, what: str, text: str) -> None:
        """A target said of itself what can't be read; nothing is taken from it.

        `what` is "leaving" or "rest".
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
        """A target closed connections without an answer, and was then looked at.

        It is "ended" if connections to it are refused, "serves" if it takes them,
        "silent" if neither; `lost` is how many answers of this entry went with it.
        """
        self.emit(
            "target_checked",
            target=target,
            service=service,
            found=found,
            lost=lost,
            took_ms=round(took_s * 1000),
        )

    def quarantine(self, change: "Change") -> None:
        """A request is held back, or released; `ends` are those known here.

        `tries` is how often it is still run, since it may be harmless.
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
        """A request that is held back is run once more, since it may be harmless."""
        self.emit(
            "quarantine_try",
            fingerprint=fingerprint_text(hold.fingerprint),
            tries_left=hold.tries - 1,
        )

    def connections_forgotten(self, service: str) -> None:
        """A service's targets reset idle connections; only young ones are used."""
        self.emit("connections_forgotten", service=service)

    def peer(self, name: str, change: str, silent_s: float) -> None:
        """Another entry was seen again, or has been silent for too long."""
        self.emit("peer", peer=name, change=change, silent_s=round(silent_s, 2))

    def shares(self, service: str, shares: dict[str, float]) -> None:
        """The regions' shares of a service's keys moved."""
        self.emit(
            "shares",
            service=service,
            shares={r: round(v, 2) for r, v in shares.items()},
        )

    # Dependencies and the process.

    def fetch(
        self, peer: str, newer: bool, since: int, revision: int, took_s: float
    ) -> None:
        """A fetch of a newer state from another entry was slow, or brought nothing.

        `since` is the revision held when it began, `revision` the one held now.
        """
        self.emit(
            "fetch",
            peer=peer,
            newer=newer,
            since=since,
            revision=revision,
            took_ms=round(took_s * 1000),
        )

    def store(self, change: str, revision: int, detail: str = "") -> None:
        """The store was lost or answers again."""
        self.emit("store", change=change, revision=revision, detail=detail)

    def process(self, change: str, **fields: Any) -> None:
        """The process started, is ready, leaves, ends, or read its settings."""
        self.emit("process", change=change, **fields)
