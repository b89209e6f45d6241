# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Do quotas hold over all entries, and what is refused within them?

    python benchmarks/quotas.py --entries 74 --workspaces 79 --loss 0.05 --hot 7.5

Prints one line: the greatest use of a window over its bound (above 1 the quota was
broken), the share of requests within their limit that were refused, in all and in
trouble, and the bytes of heartbeats and digests.
"""

import click

from emulated_quotas import QuotaPlan, play_quotas


@click.command()
@click.option("--entries", default=74, help="How many entries.")
@click.option("--workspaces", default=79, help="How many workspaces.")
@click.option("--loss", default=0.0, help="Share of datagrams that are lost.")
@click.option("--cut", default=0.0, help="Share of entries that are cut off.")
@click.option("--hot", default=1.0, help="Times its usual that the largest asks for.")
@click.option("--hot-rank", default=0, help="Which one by size, in place of it.")
@click.option("--killed", default=0.0, help="Share of entries killed in trouble.")
@click.option("--per-entry", default=14.0, help="Requests a second at an entry.")
@click.option("--seed", default=1, help="Where all chance comes from.")
def main(
    entries: int,
    workspaces: int,
    loss: float,
    cut: float,
    hot: float,
    hot_rank: int,
    killed: float,
    per_entry: float,
    seed: int,
) -> None:
    """Print one line of figures by name."""
    plan = QuotaPlan(
        entries,
        workspaces,
        3,
        loss,
        cut,
        hot,
        hot_rank,
        killed,
        per_entry,
        seed,
    )
    given = f"entries={entries} workspaces={workspaces} loss={loss} cut={cut}"
    trouble = f"hot={hot} hot_rank={hot_rank} killed={killed}"
    print(f"{given} {trouble} seed={seed} {play_quotas(plan).line()}")


if __name__ == "__main__":
    main()
