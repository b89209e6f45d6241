# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Several runs of an experiment: over seeds, policies and sizes.

Relies on `play` for each run, in this process or in several. Owns no state.
"""

from collections.abc import Callable, Iterator, Sequence
from enum import StrEnum
from multiprocessing import get_context

import msgspec

from leverdoor.emulator.plan import Experiment
from leverdoor.emulator.play import play
from leverdoor.emulator.results import Result
from leverdoor.entry.placement.tuning import Tuning

__all__ = ["ABLATIONS", "Vary", "ablations", "play_all", "scaled"]

NEVER = 99.0
"""Load over slots that is never reached."""


class Vary(StrEnum):
    """What a sweep scales."""

    RATE = "rate"
    ENTRIES = "entries"
    TARGETS = "targets"
    KEYS = "keys"


def play_all(
    jobs: Sequence[tuple[Experiment, int]],
    processes: int,
    done: Callable[[], None] = lambda: None,
) -> list[Result]:
    """Play experiments with their seeds, in some number of processes.

    Args:
      jobs: experiments, each with its seed.
      processes: how many to use; with one, all is played in this process.
      done: called after each run.
    Returns: the results, in the order of the jobs.
    """
    results = []
    for result in _play(jobs, processes):
        results.append(result)
        done()
    return results


def _play(jobs: Sequence[tuple[Experiment, int]], processes: int) -> Iterator[Result]:
    if processes <= 1:
        yield from (play(*job) for job in jobs)
        return
    with get_context("spawn").Pool(processes) as pool:
        yield from pool.imap(_play_one, jobs)


def _play_one(job: tuple[Experiment, int]) -> Result:
    return play(*job)


def _tuned(**changed: object) -> Callable[[Experiment], Experiment]:
    def change(experiment: Experiment) -> Experiment:
        fields = msgspec.structs.asdict(experiment.tuning) | changed
        return msgspec.structs.replace(experiment, tuning=Tuning(**fields))

    return change


def _without_shifts(experiment: Experiment) -> Experiment:
    site = msgspec.structs.replace(experiment.site, max_shift=0.0)
    return msgspec.structs.replace(experiment, site=site)


def _without_repeats(experiment: Experiment) -> Experiment:
    site = msgspec.structs.replace(experiment.site, repeat_ratio=0.0)
    return msgspec.structs.replace(experiment, site=site)


def _without(field: str) -> Callable[[Experiment], Experiment]:
    def change(experiment: Experiment) -> Experiment:
        return msgspec.structs.replace(experiment, **{field: False})

    return change


def _exact(experiment: Experiment) -> Experiment:
    return msgspec.structs.replace(_tuned(targets_a_key=6)(experiment), knows_all=True)


ABLATIONS: dict[str, Callable[[Experiment], Experiment]] = {
    "no second target for a key": _tuned(targets_a_key=1),
    "six targets for a key": _tuned(targets_a_key=6),
    "second target cold at any load": _tuned(cold_room=NEVER),
    "warmth is not learned": _tuned(learns_warmth=False),
    "entries do not share warmth": _without("shares_warmth"),
    "entries do not share loads": _without("shares_load"),
    "targets do not report loads": _without("reports_load"),
    "short waits (0.3)": _tuned(least_wait_share=0.3),
    "keys leave early (0.75, 0.60)": _tuned(high_pressure=0.75, low_pressure=0.6),
    "shares never move": _without_shifts,
    "no request leaves its key's region": _tuned(overflow_earn=0.0),
    "slow targets are not avoided": _tuned(avoids_slow=False),
    "no repeats": _without_repeats,
    "urgency makes no difference": _tuned(less_urgent=1.0),
    "exact loads and caches, six targets (a bound)": _exact,
}
"""Each mechanism that can be switched off, by what it is without it."""


def ablations(experiment: Experiment) -> dict[str, Experiment]:
    """Return the experiment with each mechanism switched off in turn."""
    return {name: change(experiment) for name, change in ABLATIONS.items()}


def scaled(experiment: Experiment, vary: Vary, factor: float) -> Experiment:
    """Return an experiment of another size.

    Entries are scaled with everything else as it is; so are rates and keys. Targets
    are scaled with the rates, so that the load of each stays.
    """

    def count(number: int) -> int:
        return max(1, round(number * factor))

    if vary is Vary.ENTRIES:
        entries = {r: count(n) for r, n in experiment.site.entries.items()}
        site = msgspec.structs.replace(experiment.site, entries=entries)
        return msgspec.structs.replace(experiment, site=site)
    loads = [
        msgspec.structs.replace(
            load,
            rate=load.rate * (factor if vary is not Vary.KEYS else 1.0),
            keys=count(load.keys) if vary is Vary.KEYS else load.keys,
        )
        for load in experiment.load
    ]
    services = experiment.service
    if vary is Vary.TARGETS:
        services = [
            msgspec.structs.replace(
                s, targets={r: count(n) if n else 0 for r, n in s.targets.items()}
            )
            for s in services
        ]
    return msgspec.structs.replace(experiment, load=loads, service=services)
