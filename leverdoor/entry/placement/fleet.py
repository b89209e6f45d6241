# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The targets as one entry sees them, by name.

Owns a `TargetState` for each target: its load (load.py), health (health.py), whether it
takes requests by its own reports (availability.py), warm-up (slow_start.py), known keys
(known_keys.py) and the run times of the requests last sent there. It is kept for as
long as the configuration has the target or a request is in flight there, availability
beyond that; all is lost with the process.

Relies on the configuration for the targets, on answers (entry/requests) and on the
counts of other entries (entry/exchange).
"""

from collections.abc import Iterable, Mapping
from random import Random

from leverdoor.entry.placement.availability import Availability
from leverdoor.entry.placement.health import Health
from leverdoor.entry.placement.known_keys import KnownKeys
from leverdoor.entry.placement.load_estimate import LoadEstimate
from leverdoor.entry.placement.room_refusals import RoomRefusals
from leverdoor.entry.placement.run_times import MeanRunTimes
from leverdoor.entry.placement.slow_start import SlowStart, warm_up_limit_per_s
from leverdoor.entry.wire import TargetLoad, TargetReport
from leverdoor.limits.named import LimitBook
from leverdoor.model.resources import Service, Target
from leverdoor.model.target_id import target_id

__all__ = ["PEERS_TOTAL", "Fleet", "TargetState"]

PEERS_TOTAL = "others"
"""Name of the peer under which the sums of all other entries' requests are kept."""


AVAILABILITY_TTL_S = 600.0
"""How long the availability of a target is kept that the configuration no longer has,
in seconds: a registration that expired in an outage may be back, and its target still
leaves."""


class TargetState:
    """One target as this entry sees it."""

    def __init__(
        self, target: Target, now: float, availability: Availability | None = None
    ) -> None:
        """Create it.

        Args:
          target: its description.
          now: monotonic time in seconds at which it is new.
          availability: as known from before it was gone; None for nothing known.
        """
        self.target = target
        self.availability = availability or Availability()
        self._load = LoadEstimate()
        self._health = Health(now)
        self._slow_start = SlowStart(target.cold_ms, now)
        self._known_keys = KnownKeys()
        self.room = RoomRefusals()
        """What its limiter said of room there, if it is limited."""
        self._times = MeanRunTimes(0.0, 0.0)

    def renew(self, target: Target, now: float) -> None:
        """Take a changed description of the target.

        One that says that it is cold has started again: its keys are forgotten.
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
        """This entry's own requests there."""
        return self._load.in_flight

    def sent(self, now: float, times: MeanRunTimes | None = None) -> None:
        """Count a request that goes to the target.

        Args:
          now: monotonic time in seconds.
          times: how long such requests run; None if nothing is known of it.
        """
        if times is not None:
            self._times = times
        if self._load.in_flight == 0:
            self._health.first_request_sent(now)
        self._load.in_flight += 1

    def ended(self) -> None:
        """Count a request that ended."""
        self._load.in_flight -= 1
        self.availability.ended(self._load.in_flight)

    # Load.

    def take(self, report: TargetReport, rng: Random, now: float) -> None:
        """Take what an answer reports of the target.

        Args:
          report: of an answer whose request still counts as in flight.
          rng: spreads the return after a rest.
          now: monotonic time in seconds.
        """
        if report.leaving:
            self.availability.set_leaving()
        if report.rest_s:
            in_flight = self._load.in_flight - 1
            self.availability.start_rest(report.rest_s, rng.random(), in_flight, now)
        if report.not_run:
            return
        self.availability.answered(self.target.slots, now)
        if report.load is not None:
            self.reported(report.load, now, answered=1)

    def reported(self, load: TargetLoad, now: float, answered: int = 0) -> None:
        """Take the load that the target reports; own requests are part of it.

        Args:
          load: what it reports.
          now: monotonic time in seconds.
          answered: own requests that have ended there and still count as in flight.
        """
        self._load.reported(load, now, answered)

    def reported_by_peer(self, peer: str, in_flight: int, now: float) -> None:
        """Take how many requests another entry has in flight there."""
        self._load.reported_by_peer(peer, in_flight, now)

    def refused(self, now: float) -> None:
        """Record that the target refused a request because of its load."""
        self._load.refused(self.target.slots, now)

    def load(self, now: float) -> float:
        """Estimate how many requests the target has, of all entries."""
        return self._load.estimate(self._times.warm_s, now)

    def usable_slots(self, limit_per_s: float | None) -> float:
        """Return the slots that requests within a limit can keep busy.

        Args:
          limit_per_s: requests a second that it takes; None for any number.
        """
        run_s = self._times.warm_s
        if limit_per_s is None or not run_s:
            return self.target.slots
        return min(limit_per_s * run_s, float(self.target.slots))

    def load_age_ms(self, now: float) -> int:
        """Return the time since the last report or digest of its load arrived, in ms.

        Not the age of the counts in it, which may be older; -1 if none has arrived.
        """
        return self._load.age_ms(now)

    # Warm-up and known keys.

    @property
    def cold_until(self) -> float:
        """Monotonic time at which its warm-up ends or ended, in seconds."""
        return self._slow_start.cold_until

    def in_warm_up(self, now: float) -> bool:
        """Return whether the target is in its warm-up."""
        return self._slow_start.in_warm_up(now)

    def record_key(self, key: str) -> None:
        """Note that the target answered a key now."""
        self._known_keys.add(key)

    def has_answered(self, key: str) -> bool:
        """Return whether the target lately answered a key for this entry."""
        return key in self._known_keys

    # Health.

    def answered(self, took_ratio: float, now: float) -> bool:
        """Record a whole answer; return whether the target is ejected as slow now.

        Args:
          took_ratio: its time over the time expected.
          now: monotonic time in seconds.
        """
        return self._health.answered(took_ratio, now)

    def overran(self, took_ratio: float, now: float) -> bool:
        """Record a request whose time was over before the target answered.

        Args:
          took_ratio: the time it had over the time expected.
          now: monotonic time in seconds.
        Returns: whether the target is ejected as slow now.
        """
        return self._health.overran(took_ratio, now)

    def unreached(self, now: float) -> float:
        """Record that it was not reached; return its ejection in seconds."""
        return self._health.unreached(now)

    def lost(self, now: float) -> float:
        """Record a lost answer; return its ejection in seconds, 0 for none."""
        return self._health.lost(now)

    def is_slow(self, now: float) -> bool:
        """Return whether the target is ejected as slow; it serves if no other can."""
        return self._health.is_slow(now)

    def is_silent(self, now: float) -> bool:
        """Return whether several requests are there and none was answered lately."""
        return self._health.is_silent(self._load.in_flight, self._times.cold_s, now)

    def is_usable(self, now: float) -> bool:
        """Return whether it is open and reached; warm-up and slowness aside."""
        if not self.availability.open(now):
            return False
        return not self._health.is_ejected(now) and not self.is_silent(now)

    def admits(self, priority: int, now: float) -> bool:
        """Return whether a request of a priority may go there.

        As `is_usable`, and after a rest only as many as the target takes then.
        """
        if not self.is_usable(now):
            return False
        return self.availability.admits(priority, self._load.in_flight, now)


class Fleet:
    """The states of all targets, by target name."""

    def __init__(self, limits: LimitBook | None = None) -> None:
        """Create an empty one.

        Args:
          limits: what targets take from all entries together; none are known if left
            out.
        """
        self.limits = limits or LimitBook()
        self.warm_up_per_s: Mapping[str, float] = {}
        """By service, requests a second that all entries may send to a cold target; 0
        for any number. Set with each configuration."""
        self._states: dict[str, TargetState] = {}
        self._gone: dict[str, tuple[Availability, float]] = {}
        """By targets that the configuration no longer has: their availability, and
        since when they are gone."""
        self._counted: dict[str, frozenset[str]] = {}
        """By peer, the targets that its last message had counts for."""

    def renew(
        self,
        targets: Mapping[str, Target],
        now: float,
        services: Iterable[Service] = (),
    ) -> list[str]:
        """Take the targets and services of a new configuration.

        Returns: the names of those that are gone and have nothing in flight.
        """
        self.warm_up_per_s = {s.name: s.warmup_per_s for s in services}
        for name, target in targets.items():
            state = self._states.get(name)
            if state is None:
                self._create(target, now)
            else:
                state.renew(target, now)
        gone = [
            name
            for name, state in self._states.items()
            if name not in targets and state.in_flight == 0
        ]
        for name in gone:
            availability = self._states.pop(name).availability
            if availability.affects_requests(now):
                self._gone[name] = availability, now
        return gone

    def of(self, target: Target, now: float) -> TargetState:
        """Return the state of a target."""
        return self._states.get(target.name) or self._create(target, now)

    def _create(self, target: Target, now: float) -> TargetState:
        """Create the state of a target that is new, or was gone for a while."""
        known, _ = self._gone.pop(target.name, (None, now))
        state = self._states[target.name] = TargetState(target, now, known)
        return state

    def forget(self, now: float) -> None:
        """Drop the availability of targets that have been gone for long."""
        self._gone = {
            name: (availability, since)
            for name, (availability, since) in self._gone.items()
            if now - since <= AVAILABILITY_TTL_S and availability.affects_requests(now)
        }

    def leaving_count(self) -> int:
        """Return how many targets of the configuration said that they leave."""
        return sum(s.availability.leaving for s in self._states.values())

    def resting_count(self, now: float) -> int:
        """Return how many targets of the configuration want rest of this entry."""
        return sum(s.availability.is_resting(now) for s in self._states.values())

    def limit_per_s(self, target: Target) -> float | None:
        """Return the requests a second that a target takes from all entries.

        None if it names no limit.
        """
        if self.limits.is_empty:
            return None
        return self.limits.per_s(target_id(target.name))

    def room_per_s(self, target: Target, now: float) -> float | None:
        """Return what bounds the requests a second of all entries to a target.

        The limit that it names, and what it bears in its warm-up; None for no bound.
        """
        named = self.limit_per_s(target)
        warm_up = self.warm_up_per_s.get(target.service, 0.0)
        if not warm_up or not self.of(target, now).in_warm_up(now):
            return named
        allowed = warm_up_limit_per_s(warm_up)
        return allowed if named is None else min(named, allowed)

    def in_flight(self) -> dict[str, int]:
        """Return how many requests this entry has at each target, if any."""
        return {n: s.in_flight for n, s in self._states.items() if s.in_flight}

    def receive(self, peer: str, counts: Mapping[str, int], now: float) -> None:
        """Take the counts of a peer; a target that it does not name has none of it."""
        states = self._states
        for name in self._counted.get(peer, frozenset()) - counts.keys():
            if name in states:
                states[name].reported_by_peer(peer, 0, now)
        for name, count in counts.items():
            state = states.get(name)
            if state is not None:
                state.reported_by_peer(peer, count, now)
        self._counted[peer] = frozenset(counts)

    def load(self, targets: Iterable[Target], now: float) -> tuple[float, float]:
        """Return the load and the slots of the usable, warm ones of some targets.

        Of one with a limit, only the slots that so many requests a second keep busy:
        otherwise its region would look empty, and keys would stay that find no room.
        """
        load = 0.0
        slots = 0.0
        for target in targets:
            state = self.of(target, now)
            if (
                state.is_usable(now)
                and not state.in_warm_up(now)
                and not state.is_slow(now)
            ):
                load += state.load(now)
                slots += state.usable_slots(self.limit_per_s(target))
        return load, slots
