# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`leverdoor experiment`: weigh policies on emulated sites.

Thin: reads experiments (`emulator.plan`), plays them (`emulator.series`), prints rows
(`emulator.results`). Owns no state.
"""

import sys
from collections.abc import Callable, Sequence
from functools import wraps
from pathlib import Path
from typing import Any, TypeVar

import click

from leverdoor.emulator.plan import Experiment, read_experiment
from leverdoor.emulator.results import Result, compare
from leverdoor.emulator.series import Vary, ablations, play_all, scaled
from leverdoor.errors import LeverdoorError, code_info
from leverdoor.terminal import output_option, print_rows

__all__ = ["experiment"]

FILE = click.Path(path_type=Path, dir_okay=False)
F = TypeVar("F", bound=Callable[..., None])


@click.group()
def experiment() -> None:
    """Weigh policies on emulated sites: the entries' own decisions, a fake clock.

    An experiment is a TOML file: a site, its load, its troubles, and what is weighed.
    Samples stand in examples/experiments.
    """


def _options(command: F) -> F:
    """Add what all verbs take, and end with a code on bad input."""

    @wraps(command)
    def checked(*args: Any, **kwargs: Any) -> None:
        try:
            command(*args, **kwargs)
        except LeverdoorError as e:
            click.echo(f"error {int(e.code)} {e.code.name}: {e.detail}", err=True)
            sys.exit(code_info(e.code).exit_status)

    for option in (
        output_option,
        click.option(
            "--jobs", type=click.IntRange(1, 64), default=1, help="Processes."
        ),
        click.option(
            "--seeds", type=click.IntRange(1, 1_000), default=3, help="Seeds."
        ),
        click.option("--first-seed", type=int, default=1, help="The first of them."),
    ):
        checked = option(checked)
    return checked  # type: ignore[return-value]


def _play(
    experiments: Sequence[Experiment], first_seed: int, seeds: int, jobs: int
) -> list[list[Result]]:
    """Play each experiment on the same seeds, with a progress bar."""
    numbers = range(first_seed, first_seed + seeds)
    runs = [(one, seed) for one in experiments for seed in numbers]
    with click.progressbar(length=len(runs), label="runs", file=sys.stderr) as bar:
        results = play_all(runs, jobs, lambda: bar.update(1))
    return [results[i : i + seeds] for i in range(0, len(results), seeds)]


def _mean_row(results: Sequence[Result]) -> dict[str, Any]:
    rows = [r.row() for r in results]
    return {name: sum(r[name] for r in rows) / len(rows) for name in rows[0]}


def _beside(
    name: str, base: Sequence[Result], results: Sequence[Result]
) -> dict[str, Any]:
    """Return a row that compares results with others of the same seeds."""
    found = compare([r.credit for r in base], [r.credit for r in results])
    return {
        "policy": name,
        "difference": round(found.difference, 4),
        "95%": f"+-{found.half_width:.4f}",
        "certain": found.certain,
        **_mean_row(results),
    }


@experiment.command("run")
@click.argument("file", type=FILE)
@_options
def run(file: Path, first_seed: int, seeds: int, jobs: int, output: str) -> None:
    """Play FILE on several seeds, a row for each and one for the mean."""
    results = _play([read_experiment(file)], first_seed, seeds, jobs)[0]
    rows = [{"seed": str(first_seed + i)} | r.row() for i, r in enumerate(results)]
    print_rows([*rows, {"seed": "mean"} | _mean_row(results)], output)


@experiment.command("compare")
@click.argument("first", type=FILE)
@click.argument("second", type=FILE)
@_options
def compare_files(
    first: Path, second: Path, first_seed: int, seeds: int, jobs: int, output: str
) -> None:
    """Pair FIRST and SECOND seed by seed; differences are of SECOND to FIRST."""
    both = [read_experiment(first), read_experiment(second)]
    base, other = _play(both, first_seed, seeds, jobs)
    rows = [
        _beside(both[0].name, base, base),
        _beside(both[1].name, base, other),
    ]
    print_rows(rows, output)


@experiment.command("ablate")
@click.argument("file", type=FILE)
@_options
def ablate(file: Path, first_seed: int, seeds: int, jobs: int, output: str) -> None:
    """Switch each mechanism of FILE off in turn, and compare."""
    whole = read_experiment(file)
    others = ablations(whole)
    base, *rest = _play([whole, *others.values()], first_seed, seeds, jobs)
    rows = [_beside("whole", base, base)]
    rows += [
        _beside(name, base, results) for name, results in zip(others, rest, strict=True)
    ]
    print_rows(rows, output)


@experiment.command("sweep")
@click.argument("file", type=FILE)
@click.option("--vary", type=click.Choice([v.value for v in Vary]), required=True)
@click.option(
    "--factors", default="0.5,1,2", show_default=True, help="Factors, with commas."
)
@_options
def sweep(
    file: Path,
    vary: str,
    factors: str,
    first_seed: int,
    seeds: int,
    jobs: int,
    output: str,
) -> None:
    """Show how FILE fares when its rate, entries, targets or keys grow."""
    try:
        numbers = [float(f) for f in factors.split(",")]
    except ValueError:
        raise click.BadParameter(f"not numbers: {factors}") from None
    if min(numbers) <= 0:
        raise click.BadParameter("factors are greater than 0")
    base = read_experiment(file)
    sizes = [scaled(base, Vary(vary), number) for number in numbers]
    rows = []
    for number, size, results in zip(
        numbers, sizes, _play(sizes, first_seed, seeds, jobs), strict=True
    ):
        entries = sum(size.site.entries.values())
        sent = sum(r.heartbeat_bytes for r in results) / len(results)
        heartbeats = round(sent / entries / size.seconds)
        row = {vary: number, "entries": entries, "heartbeat_B_s": heartbeats}
        rows.append(row | _mean_row(results))
    print_rows(rows, output)
