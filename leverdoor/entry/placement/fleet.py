# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Keeps the state of each target as known to one entry.

Owns a `TargetState` for each target: load (load_estimate.py), health (health.py),
availability as reported by the target (availability.py), warm-up (slow_start.py), keys
answered recently (known_keys.py), rejections by its limiter (room_rejections.py), and
the run times of the requests last sent there. A state is kept while the configuration
contains the target or a request is in flight there. The availability of a removed
target is kept for AVAILABILITY_TTL_S. Owns the slowness of all targets
(speed_estimate.py), too. Nothing is persisted.

Relies on the configuration for the targets, on answers (entry/requests) and on the
counts of other entries (entry/exchange).
"""

from collections.abc import Iterable, Mapping
from random import Random

from leverdoor.entry.placement.availability import Availability
from leverdoor.entry.placement.health import Health
from leverdoor.entry.placement.known_keys import KnownKeys
from leverdoor.entry.placement.load_estimate import LoadEstimate
from leverdoor.entry.placement.room_rejections import RoomRejections
from leverdoor.entry.placement.run_times import MeanRunTimes
from leverdoor.entry.placement.slow_start import SlowStart, warm_up_limit_per_s
from leverdoor.entry.placement.speed_estimate import SpeedTable
from leverdoor.entry.wire import TargetLoad, TargetReport
from leverdoor.limits.advertised import LimitTable
from leverdoor.model.resources import Service, Target
from leverdoor.model.target_id import target_id

__all__ = ["SUM_OF_PEERS", "Fleet", "TargetState"]

SUM_OF_PEERS = "others"
"""Peer name of counts that an exchange round sums over all other entries."""

AVAILABILITY_TTL_S = 600.0
"""Period for which the availability of a removed target is kept, in seconds.

A registration that expired in an outage may return while its target is still leaving;
the entry must not send requests to it.
"""


class TargetState:
    """The state of one target as known to this entry."""

    def __init__(
        self,
        target: Target,
        now: float,
        availability: Availability | None = None,
        speeds: SpeedTable | None = None,
    ) -> None:
        """Create it.

        Args:
          target: its description.
          now: monotonic time in seconds.
          availability: known from before the target was removed; None if unknown.
          speeds: the slowness of all targets; a table of its own if omitted.
        """
        self.target = target
        self._id = target_id(target.name)
        self._speeds = SpeedTable() if speeds is None else speeds
        self.availability = availability or Availability()
        self._load = LoadEstimate()
        self._health = Health(now)
        self._slow_start = SlowStart(target.cold_ms, now)
        self._known_keys = KnownKeys()
        self.room = RoomRejections()
        """Room requests rejected by the target's limiter."""
        self._run_times = MeanRunTimes(0.0, 0.0)

    def renew(self, target: Target, now: float) -> None:
        """Apply a new description of the target.

        Any change of a target with a warm-up counts as a restart of the target: its
        warm-up starts again and its known keys are cleared.
        """
        if target == self.target:
            return
        if target.cold_ms != self.target.cold_ms or target.cold_ms:
            self._slow_start.restart(target.cold_ms, now)
            if target.cold_ms:
                self._known_keys.clear()
        self.target = target

    # Requests of this entry.

    @property
    def in_flight(self) -> int:
        """This entry's requests at the target."""
        return self._load.in_flight

    def record_sent(self, now: float, times: MeanRunTimes | None = None) -> None:
        """Count a request that is sent to the target.

        Args:
          now: monotonic time in seconds.
          times: mean run times of such requests; None if unknown.
        """
        if times is not None:
            self._run_times = times
        if self._load.in_flight == 0:
            self._health.restart_silence(now)
        self._load.in_flight += 1

    def record_end(self) -> None:
        """Remove an ended request from the requests in flight."""
        self._load.in_flight -= 1
        self.availability.record_end(self._load.in_flight)

    # Load.

    def record_report(self, report: TargetReport, rng: Random, now: float) -> None:
        """Apply the report in an answer of the target.

        Args:
          report: the report; the answered request still counts as in flight.
          rng: random source for the end of a rest.
          now: monotonic time in seconds.
        """
        if report.leaving:
            self.availability.set_leaving()
        if report.rest_s:
            in_flight = self._load.in_flight - 1
            self.availability.start_rest(report.rest_s, rng.random(), in_flight, now)
        if report.load is not None:
            self._speeds.record_answer(
                self._id, self.target.name, report.load.slowness, now
            )
        if report.not_run:
            return
        self.availability.record_answer(self.target.slots, now)
        if report.load is not None:
            self.record_load(report.load, now, answered_count=1)

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
        self._load.record_load(load, now, answered_count)

    def record_peer_count(self, peer: str, in_flight: int, now: float) -> None:
        """Record the number of requests that another entry has in flight there."""
        self._load.record_peer_count(peer, in_flight, now)

    def record_rejection(self, now: float) -> None:
        """Record that the target rejected a request because of its load."""
        self._load.record_rejection(self.target.slots, now)

    def load(self, now: float) -> float:
        """Estimate the requests of all entries at the target."""
        warm_run_s = self._run_times.warm_s
        if warm_run_s:
            warm_run_s *= self.slowness(now)
        return self._load.estimate(warm_run_s, now)

    def slowness(self, now: float) -> float:
        """Return how long work takes at the target now, relative to usual.

        1.0 as usual; see speed_estimate.py for the bounds.
        """
        return self._speeds.slowness(self._id, now)

    def usable_slots(self, limit_per_s: float | None, slowness: float) -> float:
        """Return the slots that requests within a limit can keep busy.

        Args:
          limit_per_s: requests a second that the target accepts; None for no limit.
          slowness: duration of work at the target, relative to usual.
        """
        run_s = self._run_times.warm_s * slowness
        if limit_per_s is None or not run_s:
            return self.target.slots
        return min(limit_per_s * run_s, float(self.target.slots))

    def load_age_ms(self, now: float) -> int:
        """Return the time since the last report or count of its load arrived, in ms.

        The counts themselves may be older; -1 if none has arrived.
        """
        return self._load.age_ms(now)

    # Warm-up and known keys.

    @property
    def warm_up_until(self) -> float:
        """Monotonic time at which the warm-up ends or ended, in seconds."""
        return self._slow_start.warm_up_until

    def in_warm_up(self, now: float) -> bool:
        """Return whether the target is in its warm-up."""
        return self._slow_start.in_warm_up(now)

    def record_key(self, key: str) -> None:
        """Record that the target answered a key now."""
        self._known_keys.add(key)

    def has_answered(self, key: str) -> bool:
        """Return whether the target recently answered a key for this entry."""
        return key in self._known_keys

    # Health.

    def record_answer(self, time_ratio: float, now: float) -> bool:
        """Record a complete answer; return whether the target is now ejected as slow.

        Args:
          time_ratio: ratio of actual to expected time.
          now: monotonic time in seconds.
        """
        return self._health.record_answer(time_ratio, now)

    def overran(self, time_ratio: float, now: float) -> bool:
        """Record a request that timed out before the target answered.

        Args:
          time_ratio: ratio of the elapsed to the expected time.
          now: monotonic time in seconds.
        Returns: whether the target is now ejected as slow.
        """
        return self._health.record_timeout(time_ratio, now)

    def unreached(self, now: float) -> float:
        """Record that it could not be reached; return the ejection time in seconds."""
        return self._health.record_unreachable(now)

    def link_lost(self, now: float) -> float:
        """Record that no path to it is known; return the ejection time in seconds."""
        return self._health.record_lost_link(now)

    def forgive(self, now: float) -> None:
        """Forget its failures, because this entry's link to it was their cause."""
        self._health.forgive(now)

    def is_ejected(self, now: float) -> bool:
        """Return whether it is ejected as unreachable or for lost answers."""
        return self._health.is_ejected(now)

    def lost(self, now: float) -> float:
        """Record a lost answer; return the ejection time in seconds, 0 for none."""
        return self._health.record_lost_answer(now)

    def is_slow(self, now: float) -> bool:
        """Return whether the target is ejected as slow."""
        return self._health.is_slow(now)

    def is_silent(self, now: float) -> bool:
        """Return whether requests are in flight and none is answered in time."""
        if not self._load.in_flight:
            return False
        cold_run_s = self._run_times.cold_s * self.slowness(now)
        return self._health.is_silent(self._load.in_flight, cold_run_s, now)

    def is_usable(self, now: float) -> bool:
        """Return whether the target is open, not ejected as failed, and not silent.

        Targets that are slow or in their warm-up are usable.
        """
        if not self.availability.open(now):
            return False
        return not self._health.is_ejected(now) and not self.is_silent(now)

    def admits(self, priority: int, now: float) -> bool:
        """Return whether a request of a priority may be sent to the target.

        The target must be usable. After a rest, requests in flight are limited and the
        first ones are reserved for urgent priorities.
        """
        if not self.is_usable(now):
            return False
        return self.availability.admits(priority, self._load.in_flight, now)


class Fleet:
    """The states of all targets, by target name."""

    def __init__(self, limits: LimitTable | None = None) -> None:
        """Create it without targets.

        Args:
          limits: the known limits of targets on the requests of all entries; none if
            omitted.
        """
        self.limits = limits or LimitTable()
        self.speeds = SpeedTable()
        """The slowness that targets report, to be exchanged in heartbeats."""
        self.warm_up_per_s: Mapping[str, float] = {}
        """By service, requests a second that all entries may send to a cold target.

        0 for no limit. Set from each configuration.
        """
        self._states: dict[str, TargetState] = {}
        self._removed: dict[str, tuple[Availability, float]] = {}
        """Availability of removed targets, and the time of removal in seconds."""
        self._targets_by_peer: dict[str, frozenset[str]] = {}
        """By peer, the targets counted in its last message."""

    def renew(
        self,
        targets: Mapping[str, Target],
        now: float,
        services: Iterable[Service] = (),
    ) -> list[str]:
        """Apply the targets and services of a new configuration.

        Returns: the names of the removed targets without requests in flight.
        """
        self.warm_up_per_s = {s.name: s.warmup_per_s for s in services}
        for name, target in targets.items():
            state = self._states.get(name)
            if state is None:
                self._create(target, now)
            else:
                state.renew(target, now)
        removed = [
            name
            for name, state in self._states.items()
            if name not in targets and state.in_flight == 0
        ]
        for name in removed:
            availability = self._states.pop(name).availability
            if availability.restricts_requests(now):
                self._removed[name] = availability, now
        return removed

    def state_of(self, target: Target, now: float) -> TargetState:
        """Return the state of a target, created if necessary."""
        return self._states.get(target.name) or self._create(target, now)

    def _create(self, target: Target, now: float) -> TargetState:
        """Create the state of a new target, or of one that was removed before."""
        known, _ = self._removed.pop(target.name, (None, now))
        state = self._states[target.name] = TargetState(target, now, known, self.speeds)
        return state

    def forget(self, now: float) -> None:
        """Drop expired slowness, and the expired availability of removed targets."""
        self.speeds.forget(now)
        self._removed = {
            name: (availability, since)
            for name, (availability, since) in self._removed.items()
            if now - since <= AVAILABILITY_TTL_S
            and availability.restricts_requests(now)
        }

    def leaving_count(self) -> int:
        """Return the number of targets that reported that they are leaving."""
        return sum(s.availability.leaving for s in self._states.values())

    def resting_count(self, now: float) -> int:
        """Return the number of targets in a rest requested from this entry."""
        return sum(s.availability.is_resting(now) for s in self._states.values())

    def reported_limit_per_s(self, target: Target) -> float | None:
        """Return the limit that a target reports, in requests a second of all entries.

        None if the target reports no limit.
        """
        if self.limits.is_empty:
            return None
        return self.limits.per_s(target_id(target.name))

    def effective_limit_per_s(self, target: Target, now: float) -> float | None:
        """Return the limit in force for a target, in requests a second of all entries.

        The lower of the reported limit and the limit of a current warm-up; None for no
        limit.
        """
        reported = self.reported_limit_per_s(target)
        warm_up = self.warm_up_per_s.get(target.service, 0.0)
        if not warm_up or not self.state_of(target, now).in_warm_up(now):
            return reported
        limit = warm_up_limit_per_s(warm_up)
        return limit if reported is None else min(reported, limit)

    def in_flight(self) -> dict[str, int]:
        """Return this entry's requests in flight by target, without zeros."""
        return {n: s.in_flight for n, s in self._states.items() if s.in_flight}

    def receive(self, peer: str, counts: Mapping[str, int], now: float) -> None:
        """Record the counts of a peer; omitted targets have none of its requests."""
        states = self._states
        for name in self._targets_by_peer.get(peer, frozenset()) - counts.keys():
            if name in states:
                states[name].record_peer_count(peer, 0, now)
        for name, count in counts.items():
            state = states.get(name)
            if state is not None:
                state.record_peer_count(peer, count, now)
        self._targets_by_peer[peer] = frozenset(counts)

    def load(self, targets: Iterable[Target], now: float) -> tuple[float, float]:
        """Return the total load and slots of usable targets, relative to usual work.

        Excludes targets that are slow or in their warm-up. A limited target counts only
        the slots that its limit can keep busy. Otherwise the utilization of its region
        would appear low, and keys would stay where no target accepts their requests.

        Load and slots of a target are divided by its slowness: its busy slots do less
        work, and its free ones have room for less. If all targets are slow alike, the
        utilization remains load over slots.
        """
        load = 0.0
        slots = 0.0
        for target in targets:
            state = self.state_of(target, now)
            if (
                state.is_usable(now)
                and not state.in_warm_up(now)
                and not state.is_slow(now)
            ):
                slowness = state.slowness(now)
                limit_per_s = self.reported_limit_per_s(target)
                load += state.load(now) / slowness
                slots += state.usable_slots(limit_per_s, slowness) / slowness
        return load, slots
