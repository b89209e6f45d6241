# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One soak: real entries under callers and faults, then judged.

State: the plan, the site and the record of one soak. Relies on `promises` for the
verdict; what did not become well again is added here.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from leverdoor.standins.entry_process import EntryProcess
from leverdoor.standins.entry_site import SAMPLE_ROUTES
from leverdoor.standins.soak.broken import SMALLEST_VM, run_broken_target
from leverdoor.standins.soak.callers import SoakCaller, SoakProber
from leverdoor.standins.soak.cuts import Cuts, draw_cuts
from leverdoor.standins.soak.fatal import FatalCaller
from leverdoor.standins.soak.faults import SoakFaults
from leverdoor.standins.soak.in_force import change_again_and_again, late_changes
from leverdoor.standins.soak.limits import LimitNamer
from leverdoor.standins.soak.lost_links import LostLinks, draw_link_cuts
from leverdoor.standins.soak.memory import MemoryWatch, write_large_configurations
from leverdoor.standins.soak.pipelining import PipeliningCaller
from leverdoor.standins.soak.plan import PlannedFault, draw_plan
from leverdoor.standins.soak.promises import breaches
from leverdoor.standins.soak.record import Leave, Record, RecordedRun
from leverdoor.standins.soak.reports import ReportingTarget, reports_not_heeded
from leverdoor.standins.soak.restores import Restores, draw_restores, left_too_late
from leverdoor.standins.soak.site import ENTRIES_A_REGION, SoakSite

__all__ = ["Soak", "SoakOptions", "Verdict", "note_leaves"]

ENTRIES_CUT = 4
"""Entries of a region where ways are cut: two that follow the store, and two others."""
PIPELINING_CALLERS = 2
"""Callers that send several look-ups at once on one connection."""
CALLERS = 8
"""Callers of a soak; they load six entries and leave cores to them."""
SETTLED_S = 45.0
"""Seconds within which all must be well after the last fault.

Several times what a start, a lease and a watch need on a busy machine, so that only
what never recovers is reported.
"""
REST_S = 3.0
"""Seconds that callers go on once all is well."""
LEAVE_S = 2.5
"""Bound on leaving in the soak's settings, in seconds."""
POLL_S = 0.2
"""Seconds between two looks while something is awaited."""


def note_leaves(
    left: Mapping[str, float], settled_at: float, written_again_at: float = 0.0
) -> list[Leave]:
    """Return from when on each target that left must get nothing new.

    All know of it once all is well; but a target whose registration went soon after
    an outage of the store may be used for up to the bound on leaving. What the store
    lost counts as written when it is written again.

    Args:
      left: when each target began to leave, by its name.
      settled_at: when all was well.
      written_again_at: when all that the store lost last was written again.
    """
    return [
        Leave(name, max(settled_at, max(began, written_again_at) + LEAVE_S))
        for name, began in left.items()
    ]


class Verdict(msgspec.Struct, frozen=True):
    """What came of a soak."""

    seed: int
    troubles: int
    requests: int
    statuses: dict[str, int]
    runs: int
    peak_mb: int
    """The most memory that an entry took, in MiB."""
    breaches: list[str]


class SoakOptions(msgspec.Struct, frozen=True):
    """What a soak plays beside its random faults, and judges by."""

    fatal: int = 0
    """Requests that end each target that runs them, and come again."""
    limits: int = 0
    """Targets that name limits."""
    cuts: int = 0
    """Cuts of ways between entries, and of the store towards some of them, beside an
    operator who changes the configuration again and again."""
    reports: int = 0
    """Targets that leave, or ask for rest, in their answers."""
    restores: int = 0
    """Returns of the store from a copy, beside an operator who changes the
    configuration again and again."""
    links: int = 0
    """Cuts of the links of entries to targets."""
    large: int = 0
    """Configurations a second of nearly the store's largest value, in a row."""
    broken: int = 0
    """Targets whose replies never end."""
    judge_bound: bool = True
    """Whether changes must be in force in time beside cuts and returns of the store; on
    a machine that is busy with other work they may be late."""

    @property
    def lasts(self) -> bool:
        """Whether something goes on for the whole time, whatever the faults."""
        return bool(
            self.fatal or self.limits or self.reports or self.large or self.broken
        )


FAULTS_ALONE = SoakOptions()
"""Random faults, and nothing beside them."""


class Soak:
    """Runs one soak."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        troubles: int,
        options: SoakOptions = FAULTS_ALONE,
        site: SoakSite | None = None,
    ) -> None:
        """Create it.

        Args:
          seed: draws the faults and what callers do.
          seconds: within which all faults begin.
          troubles: how many.
          options: what is played beside them.
          site: what they happen to; one of this version if left out.
        """
        self._options = options
        self._cuts = draw_cuts(seed, seconds, options.cuts)
        self._link_cuts = draw_link_cuts(seed, seconds, options.links)
        self._restores = draw_restores(seed, seconds, options.restores)
        self._seconds = seconds
        self._seed = seed
        self._plan = draw_plan(seed, seconds, troubles)
        self._site = site or SoakSite(
            ENTRIES_CUT if options.cuts else ENTRIES_A_REGION,
            SMALLEST_VM if options.broken else None,
        )
        self._record = Record()
        self._memory = MemoryWatch(self._site)
        self._late: list[str] = []

    async def run(self, logs: Path | None = None) -> Verdict:
        """Run it.

        Args:
          logs: where to keep the entries' logs when a promise was broken.
        Returns: what came of it.
        """
        try:
            await self._site.start()
            await self._play()
            verdict = self._judge()
            if verdict.breaches and logs is not None:
                self._keep_logs(logs)
            return verdict
        finally:
            await self._site.stop()

    async def _play(self) -> None:
        tasks = [asyncio.create_task(run) for run in self._callers()]
        try:
            faults = SoakFaults(self._site, self._record)
            lasts = asyncio.sleep(self._seconds if self._options.lasts else 0.0)
            cuts = Cuts(self._site, self._record)
            played = [self._play_at(faults, f) for f in self._plan]
            restores = Restores(self._site, self._record)
            lost_links = LostLinks(self._site, self._record)
            await asyncio.gather(
                lasts,
                *played,
                *(cuts.play(c) for c in self._cuts),
                *(lost_links.play(c) for c in self._link_cuts),
                *(restores.play(r) for r in self._restores),
            )
            faults.end_all()
            await self._settle()
            await asyncio.sleep(REST_S)
        finally:
            for task in tasks:
                task.cancel()
            done = await asyncio.gather(*tasks, return_exceptions=True)
        self._late += [repr(e) for e in done if isinstance(e, Exception)]

    def _callers(self) -> list[Coroutine[Any, Any, None]]:
        """Return what goes on until the end: callers, targets, the operator."""
        site, record, seed = self._site, self._record, self._seed
        options = self._options
        entries = site.entries.values()
        found = [SoakProber(site, record, e).run() for e in entries]
        found += [
            LimitNamer(site, record, n, seed).run() for n in range(options.limits)
        ]
        found += [ReportingTarget(site, n, seed).run() for n in range(options.reports)]
        found += [run_broken_target(site, n, seed) for n in range(options.broken)]
        found += [
            FatalCaller(site, record, n, seed).run() for n in range(options.fatal)
        ]
        found += [SoakCaller(site, record, n, seed).run() for n in range(CALLERS)]
        found += [
            PipeliningCaller(site, record, n, seed).run()
            for n in range(PIPELINING_CALLERS)
        ]
        found.append(self._memory.run())
        if options.large:
            found.append(
                write_large_configurations(site, seed, options.large, self._seconds)
            )
        elif self._cuts or self._restores:
            found.append(change_again_and_again(site, seed))
        return found

    async def _play_at(self, faults: SoakFaults, fault: PlannedFault) -> None:
        await asyncio.sleep(fault.at_s)
        await faults.play(fault)

    async def _settle(self) -> None:
        """Wait until all is well: ready, named to callers, the newest in force."""
        self._site.configure(SAMPLE_ROUTES)
        self._late += [
            f"ENDED {e.name}: it ended by itself"
            for e in self._site.entries.values()
            if not e.running
        ]
        waits = [
            self._until(f"{e.name} is ready", partial(self._site.is_ready, e))
            for e in self._site.entries.values()
        ]
        await asyncio.gather(*waits)
        waits = [
            self._until(f"{e.name} has the newest", partial(self._newest, e.name))
            for e in self._site.entries.values()
        ]
        waits += [
            self._until(f"{e.name} names its neighbour", partial(self._names, e))
            for e in self._site.entries.values()
        ]
        await asyncio.gather(*waits)
        now = asyncio.get_running_loop().time()
        written_again_at = max(self._record.written_again, default=0.0)
        self._record.leaves += note_leaves(self._site.left, now, written_again_at)
        latest = max((leave.at for leave in self._record.leaves), default=now)
        await asyncio.sleep(latest - now)

    async def _until(self, what: str, holds: Callable[[], Awaitable[bool]]) -> None:
        """Wait until something holds, or note that it never did."""
        try:
            async with asyncio.timeout(SETTLED_S):
                while not await holds():
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            self._late.append(f"RECOVER not within {SETTLED_S:.0f} s: {what}")

    async def _newest(self, name: str) -> bool:
        newest = self._site.routed
        return any(p.entry == name and p.version == newest for p in self._record.probes)

    async def _names(self, entry: EntryProcess) -> bool:
        """Return whether an entry names all entries of its failure domain."""
        named = set(await self._site.resolve(entry))
        return named >= {
            e.ports["frontend"]
            for e in self._site.entries.values()
            if e.place == entry.place
        }

    def _judge(self) -> Verdict:
        for target in self._site.targets.values():
            self._record.runs += [
                RecordedRun(
                    request_id=r.request_id,
                    target=target.name,
                    service=target.service,
                    path=r.path,
                    digest=r.digest,
                    deadline_ms=r.deadline_ms,
                    at=r.at,
                    region=self._site.region(target.zone),
                    workspace=r.workspace,
                    keyed=r.keyed,
                )
                for r in target.runs
            ]
        self._record.changes = self._site.changes
        self._record.ways_refused = [
            (name, at)
            for name in self._site.entries
            for at in self._site.proxies[f"front/{name}"].refused_at
        ]
        if self._options.judge_bound and (self._cuts or self._restores):
            self._late += late_changes(self._record)
        if self._options.judge_bound and self._restores:
            self._late += left_too_late(self._record, self._site.left)
        self._late += reports_not_heeded(self._site, self._record)
        self._late += self._memory.breaches
        statuses = Counter(str(a.status) for a in self._record.attempts)
        return Verdict(
            seed=self._seed,
            troubles=len(self._plan),
            requests=len(self._record.attempts),
            statuses=dict(statuses),
            runs=len(self._record.runs),
            peak_mb=round(self._memory.peak_mb),
            breaches=[*self._late, *breaches(self._record)],
        )

    def _keep_logs(self, logs: Path) -> None:
        logs.mkdir(parents=True, exist_ok=True)
        for entry in self._site.entries.values():
            kept = logs / f"soak-{self._seed}-{entry.name}.log"
            kept.write_bytes(entry.log.read_bytes())
        plan = logs / f"soak-{self._seed}-plan.json"
        plan.write_bytes(msgspec.json.encode(self._plan))
