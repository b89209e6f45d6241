# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Are targets' limits kept by all entries together, and is their room used?

    python benchmarks/limits.py --entries 195 --per-s 3.5 --demand 5

Prints one line of both errors, with the datagrams of questions and the bytes of rounds.
`--way even` and `--way told` play what the limiter was weighed against.
"""

import click

from emulated_limits import LimitPlan, play_limits


@click.command()
@click.option("--entries", default=12, help="How many entries.")
@click.option("--per-s", default=3.5, help="The limit of each target.")
@click.option("--demand", default=5.0, help="Requests, as a multiple of the limit.")
@click.option("--targets", default=30, help="How many targets have it.")
@click.option("--loss", default=0.05, help="Share of datagrams that are lost.")
@click.option("--struck", default=0.0, help="Share of entries that troubles strike.")
@click.option("--way", default="limiter", help="limiter, even or told.")
@click.option("--seed", default=1, help="Where all chance comes from.")
def main(
    entries: int,
    per_s: float,
    demand: float,
    targets: int,
    loss: float,
    struck: float,
    way: str,
    seed: int,
) -> None:
    """Print one line of figures by name."""
    plan = LimitPlan(entries, per_s, demand, targets, loss, struck, way, seed)
    given = (
        f"entries={entries} per_s={per_s} demand={demand} loss={loss} struck={struck}"
    )
    print(f"{given} way={way} seed={seed} {play_limits(plan).line()}", flush=True)


if __name__ == "__main__":
    main()
