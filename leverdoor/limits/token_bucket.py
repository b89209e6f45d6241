# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A token bucket that enforces the limit of one target and prefers urgent requests.

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
"""Constant part of the capacity in tokens, for any limit above zero.

Requests arrive unevenly: with a capacity of one token, half of the requests would be
refused if they arrived exactly at the rate of the limit.
"""
BURST_S = 0.5
"""Time in which the limit yields the other part of the capacity, in seconds."""
PROBE_INTERVAL_S = 5.0
"""Time without a grant after which a request is granted without a token, in seconds.

Only a response of the target can end its limit. With a limit near zero no request would
be sent, so there would be no response. If several limiters grant shares of the limit,
each waits longer, so that together they send one such request per interval.
"""
URGENT_RESERVE_FACTOR = 2.0
"""Factor on the share of the rate that more urgent requests use, for their reserve.

The product is the reserved share of the capacity. The factor exceeds 1 because the
requests arrive unevenly and would find no token if only their mean rate were reserved.
"""
DEMAND_AVERAGE_S = 2.0
"""Time constant of the moving average of each priority's demand, in seconds."""
BACKOFF_DEMAND_FACTOR = 4.0
"""Multiple of the limit in the threshold below."""
BACKOFF_DEMAND_PER_S = 20.0
"""Demand above which the wait of refused entries grows, in requests per second.

The threshold is `BACKOFF_DEMAND_FACTOR` times the limit plus `BACKOFF_DEMAND_PER_S`.
Below it, an entry may request a grant again as soon as a token is expected.
"""
MAX_WAIT_S = 2.0
"""Upper bound of `GrantDecision.wait_s`, in seconds.

Tokens that become available earlier than estimated stay unused for at most this time.
"""
MIN_WAIT_S = 0.02
"""Lower bound of `GrantDecision.wait_s`, in seconds.

It bounds the message rate of a busy entry.
"""
MAX_RETRY_AFTER_S = 10.0
"""Upper bound of `GrantDecision.retry_after_s`, in seconds.

It is also the estimate of the time to the next token if the rate is zero.
"""


class GrantDecision(msgspec.Struct, frozen=True):
    """Whether a request may be sent to a target."""

    granted: bool
    wait_s: float = 0.0
    """If refused: delay of the entry's next request at this priority, in seconds."""
    retry_after_s: float = 0.0
    """If refused: estimated delay until a grant, for the caller, in seconds."""


def burst_tokens(limit_per_s: float, share: float = 1.0) -> float:
    """Return the capacity of a bucket in tokens; 0 for a limit of zero.

    Args:
      limit_per_s: the limit in requests per second.
      share: the share of the limit that the bucket grants, from 0 to 1.
    """
    if not limit_per_s:
        return 0.0
    return max((BURST_REQUESTS + BURST_S * limit_per_s) * share, 1.0)


class _Demand:
    """The request rate of one priority, as an exponential moving average."""

    def __init__(self, now: float) -> None:
        self._rate_per_s = 0.0
        self._updated_at = now

    def add(self, count: int, now: float) -> None:
        self._rate_per_s = self.rate_per_s(now) + count / DEMAND_AVERAGE_S
        self._updated_at = now

    def rate_per_s(self, now: float) -> float:
        return self._rate_per_s * math.exp(
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
        self,
        limit_per_s: float,
        share: float,
        priority: int,
        suppressed: int,
        now: float,
    ) -> GrantDecision:
        """Take a token for one request, or refuse it.

        Args:
          limit_per_s: the limit in requests per second; it may change between calls.
          share: the share of the limit that the bucket grants, from 0 to 1.
          priority: priority of the request; smaller is more urgent.
          suppressed: requests of that priority that the entry refused by itself since
            its previous grant request.
          now: monotonic time in seconds.
        """
        rate = limit_per_s * share
        capacity = burst_tokens(limit_per_s, share)
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
        urgent = sum(d.rate_per_s(now) for p, d in self._demand.items() if p < priority)
        if not urgent:
            return 0.0
        fraction = URGENT_RESERVE_FACTOR * urgent / rate if rate else 1.0
        return max(capacity - 1.0, 0.0) * min(fraction, 1.0)

    def _refusal(
        self, rate: float, missing_tokens: float, priority: int, now: float
    ) -> GrantDecision:
        demand = sum(d.rate_per_s(now) for d in self._demand.values())
        demand_at_or_above = sum(
            d.rate_per_s(now) for p, d in self._demand.items() if p <= priority
        )
        next_token_s = missing_tokens / rate if rate else MAX_RETRY_AFTER_S
        backoff = max(
            demand / (BACKOFF_DEMAND_FACTOR * rate + BACKOFF_DEMAND_PER_S), 1.0
        )
        demand_ratio = max(demand_at_or_above / rate, 1.0) if rate else 1.0
        wait_s = min(max(next_token_s * backoff, MIN_WAIT_S), MAX_WAIT_S)
        retry_after_s = min(next_token_s * demand_ratio, MAX_RETRY_AFTER_S)
        return GrantDecision(granted=False, wait_s=wait_s, retry_after_s=retry_after_s)
