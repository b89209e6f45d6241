# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How many requests one target has, estimated from several noisy counts.

Owns, for each target: this entry's own requests in flight (exact), the load that the
target reported last, the counts of other entries, and the mean by which those counts
were too low. All of it is lost with the process and learned again within seconds.

Relies on reports that come with answers (entry/requests) and on counts in heartbeats
and digests (entry/exchange). Works without either, with less precision.
"""

import math

import msgspec

from leverdoor.entry.wire import TargetLoad

__all__ = ["PEER_LOAD_TTL_S", "LoadEstimate"]

MIN_REPORT_DECAY_S = 0.15
"""Least time in which a target's report of its load loses most of its meaning, in s.

Where warm runs take longer, it is one warm run: after that the requests that were
reported are done, and others have come. Greater: an old report hides newer counts.
Smaller: only counts decide, which miss what no heartbeat has carried yet. The run time
guards against dropping a report of requests that still run, where a warm run takes
1.1 s; with runs of 0.2 to 0.6 s it made no difference (27 entries).
"""
UNCOUNTED_AVERAGING_S = 1.0
"""Time over which load that no heartbeat accounts for is averaged, in seconds.

Greater: the correction outlives a change of load. Smaller: it follows the noise of
single reports.
"""
PEER_LOAD_TTL_S = 2.5
"""Age up to which another entry's count is used, in seconds: twelve heartbeats.

Greater: requests of an entry that died block slots. Smaller: a few lost datagrams make
a busy target look free.
"""
REFUSED_LOAD_X = 2
"""Load over slots that a target counts as having when it refuses a request.

Above any load at which a request may wait there, so that it gets nothing until the
figure fades like a report.
"""


class _Report(msgspec.Struct, frozen=True):
    """What a target last said of its load."""

    at: float
    """Monotonic time of its arrival, in seconds."""
    others: float
    """Requests of other entries in it."""


class _PeerCount(msgspec.Struct, frozen=True):
    """The requests in flight of another entry, or the sum of all others."""

    at: float
    """Monotonic time of its arrival, in seconds."""
    in_flight: int


class LoadEstimate:
    """The load of one target."""

    def __init__(self) -> None:
        """Create it for a target about which nothing is known."""
        self.in_flight = 0
        """This entry's own requests there."""
        self._report: _Report | None = None
        self._uncounted = 0.0
        """Mean load beyond what heartbeats account for; may be negative."""
        self._peers: dict[str, _PeerCount] = {}
        self._peers_sum = 0
        self._peers_until = 0.0
        """Until when the sum holds: then the oldest count in it is too old."""

    def reported(self, load: TargetLoad, now: float, answered: int = 0) -> None:
        """Take the load that the target reports; own requests are part of it.

        Args:
          load: what it reports.
          now: monotonic time in seconds.
          answered: own requests that have ended there and still count as in flight.
        """
        own = self.in_flight - answered
        others = max(load.running + load.waiting - own, 0)
        elapsed_s = now - self._report.at if self._report else UNCOUNTED_AVERAGING_S
        weight = 1.0 - math.exp(-max(elapsed_s, 0.0) / UNCOUNTED_AVERAGING_S)
        gap = others - self._in_flight_of_peers(now)
        self._uncounted += weight * (gap - self._uncounted)
        self._report = _Report(now, others)

    def refused(self, slots: int, now: float) -> None:
        """Take the target's refusal of a request as a report that it is overloaded."""
        self._report = _Report(now, max(slots * REFUSED_LOAD_X - self.in_flight, 0))

    def reported_by_peer(self, peer: str, in_flight: int, now: float) -> None:
        """Take how many requests another entry has in flight there."""
        if in_flight:
            self._peers[peer] = _PeerCount(now, in_flight)
        else:
            self._peers.pop(peer, None)
        self._peers_until = 0.0

    def estimate(self, warm_run_s: float, now: float) -> float:
        """Return the requests, running and waiting, that the target has.

        Own requests are known. Those of others are what the target reported last,
        and, the older the report, the more what heartbeats count, corrected by how
        much they were off lately. Not the greater of the two: the greater of two
        noisy figures is too high on average, and requests were refused where there
        were free slots (an estimate without this bias was worth +0.021, 12 entries).

        Args:
          warm_run_s: mean time of a warm run there, in seconds; 0 if unknown.
          now: monotonic time in seconds.
        """
        others = max(self._in_flight_of_peers(now) + self._uncounted, 0.0)
        if self._report is not None:
            decay_s = max(MIN_REPORT_DECAY_S, warm_run_s)
            weight = math.exp(-max(now - self._report.at, 0.0) / decay_s)
            others += weight * (self._report.others - others)
        return self.in_flight + others

    def age_ms(self, now: float) -> int:
        """Return the time since the last report, or count of a peer, arrived, in ms.

        The counts themselves may be older: with 300 entries they
        arrive within 0.79 s (p99). -1 if nothing has arrived.
        """
        arrivals = [count.at for count in self._peers.values()]
        if self._report is not None:
            arrivals.append(self._report.at)
        return round((now - max(arrivals)) * 1000) if arrivals else -1

    def _in_flight_of_peers(self, now: float) -> int:
        """Return the sum of the other entries' counts that are not too old."""
        if now >= self._peers_until:
            self._sum_peers(now)
        return self._peers_sum

    def _sum_peers(self, now: float) -> None:
        fresh = {p: c for p, c in self._peers.items() if now - c.at <= PEER_LOAD_TTL_S}
        self._peers = fresh
        self._peers_sum = sum(count.in_flight for count in fresh.values())
        oldest = min((count.at for count in fresh.values()), default=now)
        self._peers_until = oldest + PEER_LOAD_TTL_S
