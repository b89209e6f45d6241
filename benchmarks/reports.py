# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Is heeded what targets say in answers, and are callers served meanwhile?

    python benchmarks/reports.py --entries 195 --case rest

Prints one line of both errors. `--way` plays what was weighed against it.
"""

import click

from emulated_reports import CASES, WAYS, ReportPlan, play_reports


@click.command()
@click.option("--entries", default=12, help="How many entries.")
@click.option("--case", type=click.Choice(list(CASES)), default="rest")
@click.option("--way", type=click.Choice(list(WAYS)), default="told")
@click.option("--seed", default=1, help="Where all chance comes from.")
def main(entries: int, case: str, way: str, seed: int) -> None:
    """Print one line of figures by name."""
    plan = ReportPlan(entries, case, way, seed)
    given = f"entries={entries} case={case} way={way} seed={seed}"
    print(f"{given} {play_reports(plan).line()}", flush=True)


if __name__ == "__main__":
    main()
