# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A token bucket that grants the requests of one target's limit by priority.

One bucket decides on all requests to a limited target. The total rate is therefore
exact for any number of entries, and no entry holds a quota that it does not use. When
demand exceeds the limit, the bucket reserves as many tokens as the more urgent requests
are expected to take.

Owns the tokens of one target and the recent demand of each priority, which are lost
with the process. Performs no I/O; callers pass the time, monotonic in seconds.
"""

import math

import msgspec

__all__ = ["PROBE_INTERVAL_S", "GrantDecision", "PriorityTokenBucket", "burst_tokens"]

BURST_REQUESTS = 4.0
"""Tokens that a bucket of any limit may accumulate.

Requests arrive unevenly: with room for one token, half of the requests that arrive
at just the limit would be refused.
"""
BURST_S = 0.5
"""Additional capacity, as seconds of the limit."""
PROBE_INTERVAL_S = 5.0
"""Time without a grant after which a request is granted without a token, in seconds.

Only a response of the target shows that its limit ended, and with a limit near zero no
request would be sent that brings one.
"""
URGENT_RESERVE_X = 2.0
"""Reserve for more urgent requests, as a multiple of the share of the rate they use.

They arrive unevenly and would find no token if only their mean were reserved.
"""
DEMAND_AVERAGE_S = 2.0
"""Time constant of the moving average of each priority's demand, in seconds."""
UNDELAYED_DEMAND_X = 4.0
UNDELAYED_DEMAND_PER_S = 20.0
"""Demand up to which an entry may ask again as soon as a token is expected.

The threshold is `UNDELAYED_DEMAND_X` times the limit plus `UNDELAYED_DEMAND_PER_S`, in
grant requests per second. Above it, the wait grows with the demand.
"""
MAX_WAIT_S = 2.0
"""Longest time for which an entry is told not to ask again, in seconds.

It bounds how long tokens that become available unexpectedly stay unused.
"""
MIN_WAIT_S = 0.02
"""Shortest such time, in seconds; it bounds the message rate of a busy entry."""
MAX_RETRY_AFTER_S = 10.0
"""Upper bound of the estimate after which a refused caller may retry, in seconds."""


class GrantDecision(msgspec.Struct, frozen=True):
    """Whether a request may be sent to a target."""

    granted: bool
    wait_s: float = 0.0
    """If refused: for how long not to ask again at this priority, in seconds."""
    retry_after_s: float = 0.0
    """If refused: when the request can expect a grant given the demand, in seconds."""


def burst_tokens(per_s: float, share: float = 1.0) -> float:
    """Return the capacity of a bucket in tokens; 0 for a limit of zero.

    Args:
      per_s: the limit in requests per second.
      share: the share of the limit that the bucket grants, from 0 to 1.
    """
    if not per_s:
        return 0.0
    return max((BURST_REQUESTS + BURST_S * per_s) * share, 1.0)


class _Demand:
    """The request rate of one priority, as an exponential moving average."""

    def __init__(self, now: float) -> None:
        self._per_s = 0.0
        self._updated_at = now

    def add(self, count: int, now: float) -> None:
        self._per_s = self.per_s(now) + count / DEMAND_AVERAGE_S
        self._updated_at = now

    def per_s(self, now: float) -> float:
        return self._per_s * math.exp(
            -max(now - self._updated_at, 0.0) / DEMAND_AVERAGE_S
        )


class PriorityTokenBucket:
    """A token bucket that reserves tokens for more urgent requests."""

    def __init__(self, tokens: float, now: float) -> None:
        """Create a bucket.

        Args:
          tokens: initial tokens; 0 if another limiter may just have granted requests.
          now: monotonic time in seconds.
        """
        self._tokens = tokens
        self._updated_at = now
        self._granted_at = now
        self._demand: dict[int, _Demand] = {}

    def acquire(
        self, per_s: float, share: float, priority: int, suppressed: int, now: float
    ) -> GrantDecision:
        """Take a token for one request, or refuse it.

        Args:
          per_s: the limit in requests per second; it may change between calls.
          share: the share of the limit that the bucket grants, from 0 to 1.
          priority: priority of the request; smaller is more urgent.
          suppressed: requests of that priority for which the entry sent no grant
            request since its last one.
          now: monotonic time in seconds.
        """
        rate = per_s * share
        capacity = burst_tokens(per_s, share)
        elapsed_s = max(now - self._updated_at, 0.0)
        self._tokens = min(self._tokens + elapsed_s * rate, capacity)
        self._updated_at = now
        self._demand.setdefault(priority, _Demand(now)).add(1 + suppressed, now)
        reserved = self._reserved_tokens(rate, capacity, priority, now)
        if self._tokens >= 1.0 + reserved:
            self._tokens -= 1.0
            self._granted_at = now
            return GrantDecision(granted=True)
        if share > 0.0 and now - self._granted_at >= PROBE_INTERVAL_S / share:
            self._granted_at = now
            return GrantDecision(granted=True)
        return self._refusal(rate, 1.0 + reserved - self._tokens, priority, now)

    def _reserved_tokens(
        self, rate: float, capacity: float, priority: int, now: float
    ) -> float:
        """Return the tokens reserved for more urgent requests.

        The reserve is a fraction of the capacity that grows with their share of the
        rate: if they use half of the rate, a less urgent request is granted only from
        a full bucket.
        """
        urgent = sum(d.per_s(now) for p, d in self._demand.items() if p < priority)
        if not urgent:
            return 0.0
        fraction = URGENT_RESERVE_X * urgent / rate if rate else 1.0
        return max(capacity - 1.0, 0.0) * min(fraction, 1.0)

    def _refusal(
        self, rate: float, missing_tokens: float, priority: int, now: float
    ) -> GrantDecision:
        demand = sum(d.per_s(now) for d in self._demand.values())
        demand_ahead = sum(
            d.per_s(now) for p, d in self._demand.items() if p <= priority
        )
        next_token_s = missing_tokens / rate if rate else MAX_RETRY_AFTER_S
        backoff = max(
            demand / (UNDELAYED_DEMAND_X * rate + UNDELAYED_DEMAND_PER_S), 1.0
        )
        queue_factor = max(demand_ahead / rate, 1.0) if rate else 1.0
        wait_s = min(max(next_token_s * backoff, MIN_WAIT_S), MAX_WAIT_S)
        retry_after_s = min(next_token_s * queue_factor, MAX_RETRY_AFTER_S)
        return GrantDecision(granted=False, wait_s=wait_s, retry_after_s=retry_after_s)
