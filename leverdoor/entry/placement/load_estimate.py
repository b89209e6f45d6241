# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Estimates the number of requests at one target from several noisy counts.

Owns, for each target, this entry's requests in flight (exact), the load that the target
last reported, the counts of other entries, and the mean error of those counts. All of
it is lost with the process and learned again within seconds.

Relies on reports in answers (entry/requests) and on counts in heartbeats and digests
(entry/exchange). Works with only one of them, or none, at lower precision.
"""

import math

import msgspec

from leverdoor.entry.wire import TargetLoad

__all__ = ["PEER_LOAD_TTL_S", "LoadEstimate"]

MIN_REPORT_DECAY_S = 0.15
"""Minimum time constant with which the weight of a load report decays, in seconds.

The time constant is the mean duration of a warm run, but at least this value: after a
warm run, the reported requests have ended and others have arrived. With a greater
value, old reports outweigh newer counts. With a smaller one, requests that are not yet
in heartbeats are missed. Without the duration of a warm run, a report would expire
while its requests still run, if warm runs take 1.1 s; with runs of 0.2 to 0.6 s it made
no difference (27 entries).
"""
CORRECTION_AVERAGING_S = 1.0
"""Averaging period of the error of the counts in heartbeats, in seconds.

With a greater value, the correction outlasts a change of load. With a smaller one, it
follows the noise of single reports.
"""
PEER_LOAD_TTL_S = 2.5
"""Lifetime of another entry's count in seconds: twelve heartbeats.

With a greater value, the requests of a crashed entry occupy slots. With a smaller one,
a few lost datagrams make a busy target look free.
"""
REFUSED_LOAD_X = 2
"""Ratio of load to slots assumed for a target that rejects a request.

Above any load at which a request may wait for the target, so that the target receives
no requests until the weight of this value has decayed.
"""


class _Report(msgspec.Struct, frozen=True):
    """The last load report of a target."""

    at: float
    """Monotonic time of its arrival, in seconds."""
    others: float
    """Reported requests of other entries."""


class _PeerCount(msgspec.Struct, frozen=True):
    """The requests in flight of another entry, or the sum of all others."""

    at: float
    """Monotonic time of its arrival, in seconds."""
    in_flight: int


class LoadEstimate:
    """The load of one target."""

    def __init__(self) -> None:
        """Create it for a target with unknown load."""
        self.in_flight = 0
        """This entry's requests at the target."""
        self._report: _Report | None = None
        self._count_correction = 0.0
        """Mean of the reported less the counted requests of other entries."""
        self._peers: dict[str, _PeerCount] = {}
        self._peers_sum = 0
        self._peers_sum_until = 0.0
        """Monotonic time at which the oldest summed count expires, in seconds."""

    def record_load(
        self, load: TargetLoad, now: float, answered_count: int = 0
    ) -> None:
        """Record the load that the target reports, which includes own requests.

        Args:
          load: the reported load.
          now: monotonic time in seconds.
          answered_count: own requests that ended at the target but still count as in
            flight.
        """
        own = self.in_flight - answered_count
        others = max(load.running + load.waiting - own, 0)
        elapsed_s = now - self._report.at if self._report else CORRECTION_AVERAGING_S
        weight = 1.0 - math.exp(-max(elapsed_s, 0.0) / CORRECTION_AVERAGING_S)
        uncounted = others - self._in_flight_of_peers(now)
        self._count_correction += weight * (uncounted - self._count_correction)
        self._report = _Report(now, others)

    def record_rejection(self, slots: int, now: float) -> None:
        """Record a rejection by the target as a report of an overload."""
        self._report = _Report(now, max(slots * REFUSED_LOAD_X - self.in_flight, 0))

    def record_peer_count(self, peer: str, in_flight: int, now: float) -> None:
        """Record the number of requests that another entry has in flight there."""
        if in_flight:
            self._peers[peer] = _PeerCount(now, in_flight)
        else:
            self._peers.pop(peer, None)
        self._peers_sum_until = 0.0

    def estimate(self, warm_run_s: float, now: float) -> float:
        """Estimate the running and waiting requests at the target.

        The number of own requests is exact. The requests of others are a mean of the
        last report and of the counts in heartbeats, corrected by their recent error;
        the weight of the report decreases with its age. The greater of both is not
        used, because the maximum of two noisy values is too high on average and causes
        rejections although slots are free (removing this bias raised the worth of a
        benchmark with 12 entries by 0.021).

        Args:
          warm_run_s: mean duration of a warm run there, in seconds; 0 if unknown.
          now: monotonic time in seconds.
        """
        others = max(self._in_flight_of_peers(now) + self._count_correction, 0.0)
        if self._report is not None:
            decay_s = max(MIN_REPORT_DECAY_S, warm_run_s)
            weight = math.exp(-max(now - self._report.at, 0.0) / decay_s)
            others += weight * (self._report.others - others)
        return self.in_flight + others

    def age_ms(self, now: float) -> int:
        """Return the time since the last report or peer count arrived, in ms.

        The counts themselves may be older: with 300 entries, they arrive within 0.79 s
        (p99). Returns -1 if nothing has arrived.
        """
        arrivals = [count.at for count in self._peers.values()]
        if self._report is not None:
            arrivals.append(self._report.at)
        return round((now - max(arrivals)) * 1000) if arrivals else -1

    def _in_flight_of_peers(self, now: float) -> int:
        """Return the sum of the other entries' unexpired counts."""
        if now >= self._peers_sum_until:
            self._sum_peers(now)
        return self._peers_sum

    def _sum_peers(self, now: float) -> None:
        """Remove expired counts and sum the others."""
        fresh = {p: c for p, c in self._peers.items() if now - c.at <= PEER_LOAD_TTL_S}
        self._peers = fresh
        self._peers_sum = sum(count.in_flight for count in fresh.values())
        oldest = min((count.at for count in fresh.values()), default=now)
        self._peers_sum_until = oldest + PEER_LOAD_TTL_S
