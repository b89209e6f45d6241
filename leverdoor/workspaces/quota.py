# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Quotas of workspaces that hold across all entries, enforced by each entry locally.

An entry knows its own usage of a quota exactly, and the usage of the other entries with
a delay of some tenths of a second. The requests that it has not yet reported to the
others are limited to its share of the remaining quota (`allowance.py`). An entry that
receives no digests is limited to a ceiling that depends on its last reported usage. The
others reserve the same amount for it (`isolation.py`). So is one of a group that is cut
off from the other entries and from the store, once the others may take it for ended.
The request path neither exchanges messages nor accesses the store.

Owns this entry's usage by workspace (`usage.py`), the last received usage of the other
entries, and this entry's recent reports. All of it is lost with the process. After a
restart of all entries, the admission limit grows with the part of the window for which
usage is known.

Relies on calls of `report` and `receive` with each round of digests, on an up-to-date
`entries`, and on the operator's bounds (`quota_bounds.py`).
"""

import math
from collections import deque
from collections.abc import Iterable
from random import Random

from leverdoor.errors import Code, Refusal
from leverdoor.model.resources import Workspace
from leverdoor.workspaces.allowance import EVENLY_DIVIDED_FRACTION, KnownUsage
from leverdoor.workspaces.isolation import (
    ISOLATION_TIMEOUT_S,
    IsolatedQuota,
    may_be_taken_for_ended,
)
from leverdoor.workspaces.quota_bounds import QuotaBounds
from leverdoor.workspaces.remote_usage import NO_REMOTE_USAGE, RemoteUsage
from leverdoor.workspaces.usage import UsageWindow

__all__ = ["Quotas"]

REPORT_DELAY_S = 0.6
"""Assumed age of reported usage on arrival of the digest that contains it, in seconds.

The other entries know usage within 0.79 s (p99, 300 entries, 5% of datagrams lost,
benchmarks/knowledge.py). Up to 0.4 s of this passes after the arrival of the previous
digest and is counted separately. With a greater value, requests that the others already
know count as unreported, and more requests are refused. With a smaller one, requests
count as reported before the others know them.

Also the horizon of expected use and the range of the random delay of retries.
"""
MIN_ASSUMED_USE_SHARE = 0.15
"""Least usage that the computation of expected use assumes, as a share of the admission
limit.

An entry that has just started does not know the usage. With a greater value, fewer
requests are admitted regardless of shares. With a smaller one, an entry that has just
started admits too many requests.
"""
MIN_RETRY_AFTER_S = 0.2
"""Minimum Retry-After time of a refused request, in seconds.

It equals a round of heartbeats, before which no newer usage is known. With a greater
value, callers wait although quota remains. With a smaller one, they are refused again.
"""


def retry_after_s(
    excess: float, admission_limit: float, window_s: float, random_fraction: float
) -> float:
    """Return after how many seconds a request beyond its quota should be retried.

    The time suffices for the excess to leave the window if usage is even. A random
    delay spreads the retries.

    Args:
      excess: requests beyond the admission limit, including this one.
      admission_limit: requests per window that all entries together admit.
      window_s: length of the window, in seconds.
      random_fraction: a random number in [0, 1).
    """
    return (
        max(excess * window_s / admission_limit, MIN_RETRY_AFTER_S)
        + REPORT_DELAY_S * random_fraction
    )


class Quotas:
    """Tracks the usage of workspaces and admits requests within their quotas."""

    def __init__(
        self, bounds: QuotaBounds, rng: Random, now: float, *, first_start: bool
    ) -> None:
        """Initialize without any usage.

        Args:
          bounds: the bounds on usage beyond a quota.
          rng: the random number generator for admission and retry times.
          now: monotonic time in seconds.
          first_start: whether no entry of the deployment ran before. There is then no
            unknown usage.
        """
        self._bounds = bounds
        self._rng = rng
        self._usage = UsageWindow(bounds.window_s, REPORT_DELAY_S + ISOLATION_TIMEOUT_S)
        self._started_at = now
        self._usage_known_since = now - bounds.window_s if first_start else now
        """Time since which all usage is known to this entry."""
        self._remote_usage = NO_REMOTE_USAGE
        self._remote_usage_at = now
        """Time to which `_remote_usage` refers; initially the time of the start."""
        self._remote_usage_received = False
        """Whether usage of the other entries was received since the process started."""
        self.entries = 1
        """Number of entries, including this one."""
        self._reports: deque[tuple[float, dict[str, int]]] = deque()
        """Recent reports of this entry's usage, with their times."""
        self._known_reports: list[dict[str, int]] = []
        """The reports that the others may have had at the time to which `_remote_usage`
        refers."""
        self._returned_at = -math.inf
        """When a digest ended the latest isolation of this entry."""
        self._isolated_since = now
        """Time to which the last digest before that isolation refers."""
        self._others_silent_since: float | None = None
        """Since when some other entries have been silent; None if none is."""
        self._lease_renewed_at = now
        """When this entry last renewed its registration in the store."""

    def receive(self, remote_usage: RemoteUsage, now: float) -> None:
        """Store the usage of the other entries, unless all of them are silent.

        An entry that merges reports itself creates such a value if it receives none. It
        contains only reservations, which sum up to nearly a whole quota; admission
        would depend on the rest.
        """
        if self.entries > 1 and remote_usage.silent_count >= self.entries - 1:
            return
        if self._is_isolated(now):
            self._returned_at = now
            self._isolated_since = self._remote_usage_at
        if not remote_usage.silent_count:
            self._others_silent_since = None
        elif self._others_silent_since is None:
            self._others_silent_since = now
        self._remote_usage = remote_usage
        self._remote_usage_at = now - remote_usage.age_s
        self._known_reports = [
            usage
            for at, usage in self._reports
            if 0.0 <= self._remote_usage_at - at <= REPORT_DELAY_S
        ]
        self._remote_usage_received = True
        self._usage_known_since = min(
            self._usage_known_since, now - remote_usage.usage_known_for_s
        )

    def renew_lease(self, renewed_at: float) -> None:
        """Record that this entry is registered in the store.

        Args:
          renewed_at: when its lease was renewed, in seconds.
        """
        self._lease_renewed_at = renewed_at

    def report(self, now: float) -> dict[str, int]:
        """Return this entry's usage by workspace, and store it as reported."""
        usage = self._usage.totals(now)
        self._reports.append((now, usage))
        while now - self._reports[0][0] > REPORT_DELAY_S + ISOLATION_TIMEOUT_S:
            self._reports.popleft()
        return usage

    def counting_for_s(self, now: float) -> float:
        """Return how long this entry has counted usage, in seconds."""
        return now - self._started_at

    def admission_limits(self, workspaces: Iterable[Workspace]) -> dict[str, float]:
        """Return the admission limit of each workspace that has a quota."""
        return {
            w.name: self._bounds.admission_limit(w) for w in workspaces if w.rate_per_s
        }

    # Methods called for each request.

    def admit(self, workspace: Workspace, now: float) -> None:
        """Admit and count a request of a workspace.

        Raises:
          Refusal: the request exceeds the quota; the detail contains the usage.
        """
        if not workspace.rate_per_s:
            return
        known = self.known_usage(workspace, now)
        random_fraction = self._rng.random()
        cut_off_s = self._cut_off_s(now)
        if cut_off_s is not None:
            ceiling = self._ceiling(workspace, known, cut_off_s)
            admitted = known.own_use + random_fraction < ceiling
        else:
            admitted = known.admits(random_fraction)
        if not admitted:
            raise self._refusal(workspace, known, now)
        self._usage.add(workspace.name, now)

    def count_retry(self, workspace: Workspace, now: float) -> None:
        """Count the retry of a request that may have run at its previous target."""
        if workspace.rate_per_s:
            self._usage.add(workspace.name, now)

    def refund(self, workspace: Workspace, admitted_at: float) -> None:
        """Refund a request that was not run.

        Args:
          workspace: the workspace of the request.
          admitted_at: time at which the request was admitted, in seconds.
        """
        if workspace.rate_per_s:
            self._usage.remove(workspace.name, admitted_at)

    def _is_isolated(self, now: float) -> bool:
        """Return whether other entries exist but no recent digest was received."""
        return now - self._remote_usage_at > ISOLATION_TIMEOUT_S and self.entries > 1

    def _cut_off_s(self, now: float) -> float | None:
        """Return for how long others may only reserve for this entry; None if not."""
        if self._is_isolated(now):
            return now - self._remote_usage_at
        since = self._others_silent_since
        if since is None:
            return None
        silent_s, lease_age_s = now - since, now - self._lease_renewed_at
        return silent_s if may_be_taken_for_ended(silent_s, lease_age_s) else None

    def known_usage(self, workspace: Workspace, now: float) -> KnownUsage:
        """Return the usage of a workspace as this entry knows it."""
        bounds = self._bounds
        name = workspace.name
        admission_limit = bounds.admission_limit(workspace)
        own_use = self._usage.count_within(name, bounds.window_s, now)
        silent_count = min(self._remote_usage.silent_count, self.entries - 1)
        others_use = self._others_use(name, admission_limit, silent_count)
        total_use = max(own_use + others_use, MIN_ASSUMED_USE_SHARE * admission_limit)
        unreported_span_s = REPORT_DELAY_S + (
            now - self._remote_usage_at if self.entries > 1 else 0.0
        )
        return KnownUsage(
            admission_limit=bounds.admission_limit_for_known_usage(
                workspace, now - self._usage_known_since
            ),
            others_use=others_use,
            own_use=own_use,
            unreported=max(
                own_use - self._least_known(name, unreported_span_s, now), 0
            ),
            entry_count=self.entries,
            expected_use=total_use * REPORT_DELAY_S / bounds.window_s,
            silent_count=silent_count,
        )

    def _least_known(self, name: str, span_s: float, now: float) -> int:
        """Return the least usage of this entry that the others may know now.

        They learn of what it admitted while isolated only after its return, and until
        then count the reservation, which may be less.

        Args:
          name: the workspace.
          span_s: age of the oldest report that the others may know if this entry was
            not isolated, in seconds.
          now: monotonic time in seconds.
        """
        if now - self._returned_at <= REPORT_DELAY_S:
            span_s = now - self._isolated_since + REPORT_DELAY_S
        return self._usage.least_reported(name, span_s, now)

    def _others_use(
        self, name: str, admission_limit: float, silent_count: int
    ) -> float:
        """Return the requests of the other entries, plus reservations for silent ones.

        A workspace that digests omit is assumed to have the greatest omitted usage.
        """
        others_use: float = self._remote_usage.requests_by_workspace.get(name, 0)
        if name not in self._remote_usage.requests_by_workspace:
            others_use = self._remote_usage.min_reported_share * admission_limit
        return (
            others_use
            + EVENLY_DIVIDED_FRACTION * admission_limit * silent_count / self.entries
        )

    def _ceiling(
        self, workspace: Workspace, known: KnownUsage, cut_off_s: float
    ) -> float:
        """Return the maximum number of requests per window while cut off."""
        counts = (usage.get(workspace.name, 0) for usage in self._known_reports)
        received = self._remote_usage_received
        return IsolatedQuota(
            admission_limit=known.admission_limit,
            bound=self._bounds.bound(workspace),
            entry_count=self.entries,
            isolated_s=cut_off_s,
            window_s=self._bounds.window_s,
            last_reported=min(counts, default=0) if received else None,
            others_use=known.others_use,
        ).ceiling

    def _refusal(self, workspace: Workspace, known: KnownUsage, now: float) -> Refusal:
        """Return the refusal of a request beyond the quota."""
        excess = max(known.others_use + known.own_use + 1 - known.admission_limit, 0.0)
        wait_s = retry_after_s(
            excess,
            self._bounds.admission_limit(workspace),
            self._bounds.window_s,
            self._rng.random(),
        )
        age_ms = round((now - self._remote_usage_at) * 1000)
        detail = (
            f"{workspace.name}: {known.own_use} requests at this entry, "
            f"{known.others_use} at others ({age_ms} ms ago), admission limit "
            f"{known.admission_limit:.0f}, allowance {known.allowance:.1f}"
        )
        return Refusal(Code.QUOTA_EXCEEDED, detail, retry_after_ms=round(wait_s * 1000))
