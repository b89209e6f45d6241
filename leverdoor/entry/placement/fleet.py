# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The state of each target as one entry sees it: load, warmth, health, allowance."""

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping

import msgspec

from leverdoor.entry.wire import TargetLoad
from leverdoor.model.resources import Target

__all__ = ["OTHERS", "Allowance", "Fleet", "RunTimes", "TargetState"]

FIRST_EJECTION_S = 0.5
"""First ejection of a target that was not reached, in seconds; it doubles."""
LONGEST_EJECTION_S = 4.0
"""Longest ejection, in seconds; chosen, the usual length of an outage."""
LOST_IN_A_ROW = 3
"""Lost answers in a row that eject a target.

One ejected targets that were well 90 times a second (incident f170); 2 made no
difference to worth at 12 entries.
"""
REPORT_DECAY_S = 0.15
"""Least time in which a target's report of its load loses most of its meaning.

It is one warm run where runs take longer: after that the requests that were
reported are done, and others have come.
"""
UNSEEN_MEMORY_S = 1.0
"""Time over which load that no heartbeat accounts for is averaged.

Chosen, not measured: several times the spacing of reports at 12 entries.
"""
PEER_TRUST_S = 2.5
"""Age up to which another entry's count is used, in seconds; twelve heartbeats."""
REMEMBERED_KEYS = 256
"""Keys remembered for each target; five times what the users' targets keep.

40 made no difference to worth at 12 entries.
"""
SLOW_RATIO = 3.0
"""Mean of measured over expected time from which on a target is ejected as slow.

2.2 made no difference to worth at 12 entries.
"""
SLOW_WEIGHT = 0.15
"""Weight of one answer in that mean: about the last seven. Chosen."""
SLOW_EJECTION_S = 2.0
"""How long a slow target is ejected, in seconds; chosen."""
STILL_SLOW = 2.4
"""Mean that a target has after such an ejection, until it answers well."""
SILENCE_S = 1.2
"""Least silence of a target with requests after which it gets no more, in seconds."""
SILENT_RUNS = 2.0
"""Cold runs that such a silence lasts at least.

Guards against taking a target for dead while it runs its first requests cold: these
take 3.5 s where a warm run takes 1.1 s.
"""
SILENT_REQUESTS = 3
"""Requests that must be there for silence to count; chosen."""

OTHERS = "others"
"""Under this name the fleet keeps the sums of all other entries' requests."""


class RunTimes(msgspec.Struct, frozen=True):
    """How long requests of one kind run at a target, in seconds."""

    warm_s: float
    cold_s: float


class Allowance:
    """A rate of requests, spent one at a time; it saves up only one."""

    def __init__(self, per_s: float, now: float) -> None:
        """Create it, with one request to spend.

        Args:
          per_s: requests a second.
          now: monotonic time in seconds.
        """
        self.per_s = per_s
        self._saved = 1.0
        self._at = now

    def spend(self, now: float) -> bool:
        """Take one request if there is one."""
        self._saved = min(1.0, self._saved + (now - self._at) * self.per_s)
        self._at = now
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


class TargetState:
    """One target as this entry sees it."""

    def __init__(self, target: Target, now: float) -> None:
        """Create it for a target first heard of now."""
        self.target = target
        self.in_flight = 0
        self.cold_until = now + target.cold_ms / 1000
        self.out_until = 0.0
        self.slow_until = 0.0
        self._failures = 0
        self._lost = 0
        self._report: tuple[float, float] | None = None
        """When the target reported its load, and how much of it is others'."""
        self._unseen = 0.0
        """Mean load beyond what heartbeats account for; may be negative."""
        self._peers: dict[str, tuple[float, int]] = {}
        self._peers_sum = 0
        self._peers_until = 0.0
        self._keys: OrderedDict[str, None] = OrderedDict()
        self._slowness = 1.0
        self._last_answer = now
        self._times = RunTimes(0.0, 0.0)
        self._allowance: Allowance | None = None

    def renew(self, target: Target, now: float) -> None:
        """Take a changed description of the target."""
        if target == self.target:
            return
        if target.cold_ms != self.target.cold_ms or target.cold_ms:
            self.cold_until = max(self.cold_until, now + target.cold_ms / 1000)
            if target.cold_ms:
                self._keys.clear()
        self.target = target

    # Load.

    def reported(self, load: TargetLoad, now: float) -> None:
        """Take the load that the target reports; own requests are part of it."""
        others = max(load.running + load.waiting - self.in_flight, 0)
        elapsed_s = now - self._report[0] if self._report else UNSEEN_MEMORY_S
        weight = 1.0 - math.exp(-max(elapsed_s, 0.0) / UNSEEN_MEMORY_S)
        gap = others - self._in_flight_of_peers(now)
        self._unseen += weight * (gap - self._unseen)
        self._report = (now, others)

    def reported_by_peer(self, peer: str, in_flight: int, now: float) -> None:
        """Take how many requests another entry has in flight there."""
        if in_flight:
            self._peers[peer] = (now, in_flight)
        else:
            self._peers.pop(peer, None)
        self._peers_until = 0.0

    def load(self, now: float) -> float:
        """Estimate how many requests the target has, of all entries.

        Own requests are known. Those of others are what the target reported
        last, and, the older the report, the more what heartbeats count,
        corrected by how much they were off lately. Neither bound of the two is
        taken: the greater of two noisy figures is too high on average.
        """
        others = max(self._in_flight_of_peers(now) + self._unseen, 0.0)
        if self._report is not None:
            at, reported = self._report
            decay_s = max(REPORT_DECAY_S, self._times.warm_s)
            weight = math.exp(-max(now - at, 0.0) / decay_s)
            others += weight * (reported - others)
        return self.in_flight + others

    def load_age_ms(self, now: float) -> int:
        """Return the age of the newest report or heartbeat about it; -1 for none."""
        heard = [at for at, _ in self._peers.values()]
        if self._report is not None:
            heard.append(self._report[0])
        return round((now - max(heard)) * 1000) if heard else -1

    def _in_flight_of_peers(self, now: float) -> int:
        if now >= self._peers_until:
            self._sum_peers(now)
        return self._peers_sum

    def _sum_peers(self, now: float) -> None:
        fresh = {p: v for p, v in self._peers.items() if now - v[0] <= PEER_TRUST_S}
        self._peers = fresh
        self._peers_sum = sum(count for _, count in fresh.values())
        oldest = min((at for at, _ in fresh.values()), default=now)
        self._peers_until = oldest + PEER_TRUST_S

    # Warmth.

    def remember(self, key: str) -> None:
        """Note that the target has seen a key now."""
        self._keys[key] = None
        self._keys.move_to_end(key)
        if len(self._keys) > REMEMBERED_KEYS:
            self._keys.popitem(last=False)

    def saw(self, key: str) -> bool:
        """Return whether the target has lately seen a key from here."""
        return key in self._keys

    def cold(self, now: float) -> bool:
        """Return whether the target is in its warm-up."""
        return now < self.cold_until

    def spend_allowance(self, per_s: float, now: float) -> bool:
        """Take one request of this entry's share of a cold target's allowance."""
        if self._allowance is None:
            self._allowance = Allowance(per_s, now)
        self._allowance.per_s = per_s
        return self._allowance.spend(now)

    # Health.

    def answered(self, took_ratio: float, now: float) -> bool:
        """Record a whole answer.

        Args:
          took_ratio: its time over the time expected.
          now: monotonic time in seconds.
        Returns: whether the target is so slow that it is ejected now.
        """
        self._failures = 0
        self._lost = 0
        self._last_answer = now
        return self._judge(took_ratio, now)

    def overran(self, took_ratio: float, now: float) -> bool:
        """Record a request that was still at work when its time was over.

        Args:
          took_ratio: the time it had over the time expected.
          now: monotonic time in seconds.
        Returns: whether the target is so slow that it is ejected now.
        """
        return took_ratio > 1.0 and self._judge(took_ratio, now)

    def _judge(self, took_ratio: float, now: float) -> bool:
        self._slowness += SLOW_WEIGHT * (took_ratio - self._slowness)
        if self._slowness <= SLOW_RATIO:
            return False
        self.slow_until = now + SLOW_EJECTION_S
        self._slowness = STILL_SLOW
        return True

    def slow(self, now: float) -> bool:
        """Return whether the target is ejected as slow; it serves if no other can."""
        return now < self.slow_until

    def unreached(self, now: float) -> float:
        """Record that the target could not be reached.

        Returns: how long the target is ejected, in seconds.
        """
        wait = min(
            FIRST_EJECTION_S * 2.0 ** min(self._failures, 10), LONGEST_EJECTION_S
        )
        self._failures += 1
        self.out_until = max(self.out_until, now + wait)
        return wait

    def lost(self, now: float) -> float:
        """Record a lost answer; a few may be lost by a target that is well.

        An ejection moves its keys to targets that have not seen them, which costs
        more than another lost answer.

        Returns: how long the target is ejected, in seconds; 0 for not at all.
        """
        self._lost += 1
        if self._lost < LOST_IN_A_ROW:
            return 0.0
        return self.unreached(now)

    def refused(self, now: float) -> None:
        """Record that the target turned a request away: it is full."""
        slots = self.target.slots
        self._report = (now, max(slots * 2 - self.in_flight, 0))

    def sent(self, now: float, times: RunTimes | None = None) -> None:
        """Count a request that goes to the target.

        Args:
          now: monotonic time in seconds.
          times: how long such requests run; None if nothing is known of it.
        """
        if times is not None:
            self._times = times
        if self.in_flight == 0:
            self._last_answer = now
        self.in_flight += 1

    def ended(self) -> None:
        """Count a request that ended."""
        self.in_flight -= 1

    def silent(self, now: float) -> bool:
        """Return whether several requests are there and none was answered lately."""
        silence_s = max(SILENCE_S, SILENT_RUNS * self._times.cold_s)
        return self.in_flight >= SILENT_REQUESTS and now - self._last_answer > silence_s

    def usable(self, now: float) -> bool:
        """Return whether new requests may go there, its warm-up aside."""
        return now >= self.out_until and not self.silent(now)


class Fleet:
    """The states of all targets, by target name."""

    def __init__(self) -> None:
        """Create an empty one."""
        self._states: dict[str, TargetState] = {}
        self._told: dict[str, frozenset[str]] = {}
        """By entry, the targets at which it had requests when last heard."""

    def renew(self, targets: Mapping[str, Target], now: float) -> list[str]:
        """Take the targets of a new configuration.

        Returns: the names of those that are gone and have nothing in flight.
        """
        for name, target in targets.items():
            state = self._states.get(name)
            if state is None:
                self._states[name] = TargetState(target, now)
            else:
                state.renew(target, now)
        gone = [
            name
            for name, state in self._states.items()
            if name not in targets and state.in_flight == 0
        ]
        for name in gone:
            del self._states[name]
        return gone

    def of(self, target: Target, now: float) -> TargetState:
        """Return the state of a target."""
        found = self._states.get(target.name)
        if found is None:
            found = self._states[target.name] = TargetState(target, now)
        return found

    def in_flight(self) -> dict[str, int]:
        """Return how many requests this entry has at each target, if any."""
        return {n: s.in_flight for n, s in self._states.items() if s.in_flight}

    def receive(self, peer: str, counts: Mapping[str, int], now: float) -> None:
        """Take the counts of another entry; what it does not name is none."""
        states = self._states
        for name in self._told.get(peer, frozenset()) - counts.keys():
            if name in states:
                states[name].reported_by_peer(peer, 0, now)
        for name, count in counts.items():
            state = states.get(name)
            if state is not None:
                state.reported_by_peer(peer, count, now)
        self._told[peer] = frozenset(counts)

    def load(self, targets: Iterable[Target], now: float) -> tuple[float, int]:
        """Return the load and the slots of the usable, warm ones of some targets."""
        load = 0.0
        slots = 0
        for target in targets:
            state = self.of(target, now)
            if state.usable(now) and not state.cold(now) and not state.slow(now):
                load += state.load(now)
                slots += target.slots
        return load, slots
