# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Both errors of holding requests back, at any number of entries, on a fake clock.

Some requests end each target that runs them; others are harmless, and are lost when
their target ends. Entries judge by their own `Quarantine` and tell each other by their
own `Exchange`; datagrams are lost, entries are cut off or all killed at once, targets
end by themselves at one moment or one after the other. State: of one run.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from itertools import count
from random import Random

import msgspec

from emulated_exchange import KnowledgeSite
from leverdoor.entry.membership.member import Member
from leverdoor.model.target_id import target_id
from leverdoor.quarantine.crashes import LostRun
from quarantine_node import EmulatedRecords, QuarantineNode
from quarantine_plan import QuarantineFigures, QuarantinePlan

__all__ = ["play_quarantine"]

QUIET_S = 6.0
"""Time before the first trouble, in seconds."""
PLAYED_S = 30.0
"""How long is played, in seconds."""
KNOWN_S = 4.0
"""Time after the third end from which on sends count: the operator's bound."""
ENOUGH = 3
"""Ends after which a request is to be known: the operator's bound."""
FIRST_FATAL = 1
"""Fingerprints of fatal requests count from here."""
FIRST_HARMLESS = 1_000
"""Fingerprints of harmless requests count from here."""
BURST_S = 4.0
"""Time between two bursts of a fatal request, in seconds, as was seen."""
BURST_COPIES = 6
"""Attempts of callers in one burst; up to eleven were seen."""
BURST_SPREAD_S = 0.7
"""Time within which they come."""
FATAL_RUN_S = 0.08
"""Time from a fatal request's begin to its target's end; 0.06 to 0.1 s was seen."""
RUN_S = 0.6
"""Mean time of a harmless run; three are then at each target, as was seen."""
BACK_S = 5.0
"""Time until a target that ended is replaced, in seconds; 4 to 7 s was seen."""
CHECK_S = 0.002
"""Time of the check whether a target ended, in seconds."""
ATTEMPTS = 2
"""Targets that may get one attempt of a caller."""
TRIES = 4
"""Attempts of a caller who gets no answer; usual ones make two."""
TRY_AGAIN_S = 0.3
"""Mean time to a caller's next attempt."""
POPULAR = 30
"""Requests that many callers send alike."""
POPULAR_SHARE = 0.2
"""Part of harmless attempts that are one of these."""
KEYS = 40
"""Keys that order the targets; a fatal request shares its targets with others."""
CASCADE_S = 10.0
"""How long targets end by themselves."""
DOWN_S = 0.9
"""How long killed entries are away, in seconds."""
LOOK_S = 0.5
"""Time between two looks of a follower at what the store lacks, in seconds."""
SPREAD_S = 0.8
"""Time until all entries have what the store has, in seconds."""


class _Run(msgspec.Struct):
    """One run of a request at a target."""

    fingerprint: int
    entry: str
    began: float
    attempt: int
    """Of the entry, from 1."""
    tries: int
    """The caller's attempts, this one included."""
    tried: list[str]


class _Play:
    """One run: its site, its targets, and what is counted."""

    def __init__(self, plan: QuarantinePlan) -> None:
        self.plan = plan
        self.figures = QuarantineFigures()
        self._rng = Random(plan.seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self.site = KnowledgeSite(plan.entries, 3, plan.loss, _make, plan.seed)
        self._names = list(self.site.nodes)
        self._numbers = count()
        self._targets: dict[str, dict[int, _Run]] = {}
        """What runs at each target, by the number of the run."""
        for _ in range(max(round(2.8 * plan.entries), 6)):
            self._start_target()
        self._harmless = count(FIRST_HARMLESS + POPULAR)
        self._ends: defaultdict[int, list[float]] = defaultdict(list)
        self._sent: defaultdict[int, list[float]] = defaultdict(list)
        self._records = EmulatedRecords()
        self._lost: Counter[int] = Counter()
        """For the rule that only counts: lost runs by fingerprint."""

    @property
    def now(self) -> float:
        return self.site.now

    def _after(self, delay_s: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), call))

    def run(self) -> QuarantineFigures:
        plan = self.plan
        self._after(0.0, self._arrive)
        self._after(LOOK_S, self._write_records)
        for i in range(plan.fatal):
            first_s = QUIET_S + BURST_S * i / plan.fatal
            self._after(first_s, lambda f=FIRST_FATAL + i: self._burst(f))  # type: ignore[misc]
        if plan.cut:
            self._after(QUIET_S, lambda: self._set_cut("r1"))
            self._after(QUIET_S + 5.0, lambda: self._set_cut(""))
        if plan.killed:
            self._after(PLAYED_S / 2, self._kill_all)
        if plan.at_once:
            self._after(QUIET_S + 1.0, self._end_at_once)
        if plan.cascade:
            self._after(QUIET_S, self._cascade)
        while self._events and self._events[0][0] <= PLAYED_S:
            at, _, call = heapq.heappop(self._events)
            self.site.run(at)
            call()
        return self._figures()

    # Targets.

    def _start_target(self) -> None:
        self._targets[f"i-{next(self._numbers):08x}"] = {}

    def _end_target(self, name: str) -> None:
        """End a target; each entry that had runs there checks and notes it."""
        runs = self._targets.pop(name, None)
        if runs is None:
            return
        self._after(BACK_S, self._start_target)
        for run in runs.values():
            self._after(CHECK_S, lambda r=run, at=self.now: self._note(name, r, at))  # type: ignore[misc]
            self._lose(run, name)

    def _note(self, name: str, run: _Run, ended: float) -> None:
        if run.entry in self.site.dead:
            return
        self._lost[run.fingerprint] += 1
        lost = LostRun(run.fingerprint, run.began, ended)
        self._node(run.entry).quarantine.record_crash(target_id(name), lost, self.now)

    def _lose(self, run: _Run, name: str) -> None:
        """Send a lost run on, or have its caller try again."""
        if run.fingerprint >= FIRST_HARMLESS:
            self.figures.harmless_lost += 1
        node = self._node(run.entry)
        retried = run.attempt < ATTEMPTS and run.entry not in self.site.dead
        if retried and node.quarantine.may_retry(run.fingerprint, self.now):
            run.attempt += 1
            self._send(run)
        else:
            self._try_again(run)

    def _try_again(self, run: _Run) -> None:
        if run.fingerprint >= FIRST_HARMLESS and run.tries < TRIES:
            delay_s = self._rng.expovariate(1 / TRY_AGAIN_S)
            self._after(delay_s, lambda: self._call(run.fingerprint, run.tries + 1))

    def _end_at_once(self) -> None:
        names = sorted(self._targets)
        part = round(self.plan.at_once * len(names))
        for name in self._rng.sample(names, part):
            self._end_target(name)

    def _cascade(self) -> None:
        if self._targets:
            self._end_target(self._rng.choice(sorted(self._targets)))
        if self.now < QUIET_S + CASCADE_S:
            size = 2.8 * self.plan.entries
            self._after(self._rng.expovariate(self.plan.cascade * size), self._cascade)

    # Requests.

    def _burst(self, fingerprint: int) -> None:
        for _ in range(BURST_COPIES):
            delay_s = self._rng.random() * BURST_SPREAD_S
            self._after(delay_s, lambda: self._call(fingerprint, 1))
        self._after(BURST_S, lambda: self._burst(fingerprint))

    def _arrive(self) -> None:
        popular = self._rng.random() < POPULAR_SHARE
        fingerprint = FIRST_HARMLESS + self._rng.randrange(POPULAR)
        self._call(fingerprint if popular else next(self._harmless), 1)
        rate = self.plan.per_entry * self.plan.entries
        self._after(self._rng.expovariate(rate), self._arrive)

    def _call(self, fingerprint: int, tries: int) -> None:
        """Let a caller send a request to an entry that runs."""
        name = self._rng.choice(self._names)
        if name in self.site.dead:
            return
        harmless = fingerprint >= FIRST_HARMLESS
        self.figures.harmless += harmless
        run = _Run(fingerprint, name, self.now, 1, tries, [])
        if self._holds(name, fingerprint) and not self._node(name).tries(
            fingerprint, self.now
        ):
            self.figures.harmless_refused += harmless
            self._try_again(run)
            return
        self._send(run)

    def _holds(self, name: str, fingerprint: int) -> bool:
        if self.plan.count_only:
            return self._lost[fingerprint] >= ENOUGH
        return (
            self._node(name).quarantine.active_hold(fingerprint, self.now) is not None
        )

    def _send(self, run: _Run) -> None:
        """Run a request at the first target of its key that was not tried."""
        order = self._in_order(run.fingerprint % KEYS)
        target = next((t for t in order if t not in run.tried), None)
        if target is None:
            return
        run.began = self.now
        run.tried.append(target)
        number = next(self._numbers)
        self._targets[target][number] = run
        if run.fingerprint < FIRST_HARMLESS:
            self._sent[run.fingerprint].append(self.now)
            self._after(FATAL_RUN_S, lambda: self._crash(target, run))
            return
        self._after(
            self._rng.uniform(0.5, 1.5) * RUN_S,
            lambda: self._answer(target, number, run),
        )

    def _in_order(self, key: int) -> list[str]:
        """Return the targets of a key, the first one first."""
        names = list(self._targets)
        start = key * len(names) // KEYS
        return (names[start:] + names[:start])[: 2 * ATTEMPTS]

    def _crash(self, target: str, run: _Run) -> None:
        if target in self._targets:
            self._ends[run.fingerprint].append(self.now)
            self._end_target(target)

    def _answer(self, target: str, number: int, run: _Run) -> None:
        found = self._targets.get(target, {}).pop(number, None)
        if found is not None and run.entry not in self.site.dead:
            self._lost[run.fingerprint] = 0
            self._node(run.entry).quarantine.answered(run.fingerprint, self.now)

    def _node(self, name: str) -> QuarantineNode:
        node = self.site.nodes[name]
        assert isinstance(node, QuarantineNode)
        return node

    # Entries and the store.

    def _set_cut(self, region: str) -> None:
        self.site.cut = region

    def _write_records(self) -> None:
        """Let two followers write what they hold back; all read it a moment later."""
        for name in self._names[:2]:
            if name in self.site.dead:
                continue
            for fingerprint in self._records.write(self._node(name), self.now):
                self._after(SPREAD_S, lambda f=fingerprint: self._read(f))  # type: ignore[misc]
        self._after(LOOK_S, self._write_records)

    def _read(self, fingerprint: int) -> None:
        for name in self._names:
            if name not in self.site.dead:
                self._records.read(self._node(name), fingerprint, self.now)

    def _kill_all(self) -> None:
        self.site.dead = set(self._names)
        for runs in self._targets.values():
            runs.clear()
        self._after(DOWN_S, self._start_all)

    def _start_all(self) -> None:
        """Start all entries with nothing but the others' names and the records."""
        self.site.dead = set()
        members = [n.membership.own for n in self.site.nodes.values()]
        for before in members:
            own = msgspec.structs.replace(before, incarnation=before.incarnation + 1)
            node = QuarantineNode(own, Random(f"{own.name} again"))
            node.held = self._node(own.name).held
            for other in members:
                node.membership.update_member(other, self.now)
            self._records.read_all(node, self.now)
            self.site.restart(own.name, node)

    def _figures(self) -> QuarantineFigures:
        figures = self.figures
        for fingerprint, ends in self._ends.items():
            figures.most_ended = max(figures.most_ended, len(ends))
            if len(ends) >= ENOUGH:
                late = ends[ENOUGH - 1] + KNOWN_S
                sends = sum(at > late for at in self._sent[fingerprint])
                figures.most_sent_late = max(figures.most_sent_late, sends)
        held = {f for name in self._names for f in self._node(name).held}
        if self.plan.count_only:
            held = {f for f, lost in self._lost.items() if lost >= ENOUGH}
        figures.harmless_held = sum(f >= FIRST_HARMLESS for f in held)
        sent = [self.site.sent[name] / PLAYED_S / 1000 for name in self._names]
        figures.kb_per_s = sum(sent) / len(sent)
        figures.busiest_kb_per_s = max(sent)
        return figures


def _make(own: Member, _: dict[str, list[str]], rng: Random) -> QuarantineNode:
    return QuarantineNode(own, rng)


def play_quarantine(plan: QuarantinePlan) -> QuarantineFigures:
    """Play a plan, and return its figures."""
    return _Play(plan).run()
