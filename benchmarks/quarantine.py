# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How often is a fatal request sent on, and how many harmless ones are turned away?

    python benchmarks/quarantine.py --entries 195 --loss 0.05 --cut --at-once 0.2

Prints one line of both errors, with the bytes of heartbeats, digests and notices.
`--count-only` plays the rule that this one was weighed against.
"""

import click

from emulated_quarantine import play_quarantine
from quarantine_plan import QuarantinePlan


@click.command()
@click.option("--entries", default=12, help="How many entries.")
@click.option("--fatal", default=1, help="Requests that end each target.")
@click.option("--loss", default=0.0, help="Share of datagrams that are lost.")
@click.option("--cut", is_flag=True, help="Cut a region off for five seconds.")
@click.option("--killed", is_flag=True, help="Kill all entries in the middle.")
@click.option("--at-once", default=0.0, help="Share of targets that end at once.")
@click.option("--cascade", default=0.0, help="Share of targets that end a second.")
@click.option("--count-only", is_flag=True, help="Hold back by count alone.")
@click.option("--seed", default=1, help="Where all chance comes from.")
def main(**given: int) -> None:
    """Print one line of figures by name."""
    line = play_quarantine(QuarantinePlan(**given)).line()
    print(" ".join(f"{name}={value}" for name, value in given.items()), line)


if __name__ == "__main__":
    main()
