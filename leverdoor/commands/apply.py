# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`leverdoor apply`: create or replace resources.

More than one transaction's worth is sent in batches, each all or none. Owns no state.
"""

from collections.abc import Sequence
from typing import BinaryIO

import click

from leverdoor.client.operator import Operator
from leverdoor.errors import LeverdoorError
from leverdoor.model.resources import KINDS, Resource, parse_resources, resource_key
from leverdoor.settings import Address
from leverdoor.storage.configuration import MAX_RESOURCES
from leverdoor.terminal import api_option, run

__all__ = ["apply"]


@click.command()
@api_option
@click.option(
    "-f",
    "--file",
    "files",
    type=click.File("rb"),
    multiple=True,
    required=True,
    help="A JSON file of one resource or a list; - for standard input.",
)
@click.option("--dry-run", is_flag=True, help="Check only; write nothing.")
@click.option("--wait", is_flag=True, help="Wait until in force on every entry.")
@click.option("--entries", default=1, help="With --wait: least number of entries.")
@click.option("--timeout", default=30.0, help="With --wait: seconds to wait.")
@click.option("--if-match", type=int, help="Write only at this revision; 0 for new.")
def apply(
    agents: Sequence[Address],
    files: Sequence[BinaryIO],
    dry_run: bool,
    wait: bool,
    entries: int,
    timeout: float,
    if_match: int | None,
) -> None:
    """Create or replace the resources of files, all or none.

    More than 100 resources are written in several transactions, in an order
    in which nothing refers to what is not there yet.
    """

    async def work(operator: Operator) -> None:
        resources = [r for f in files for r in parse_resources(f.read())]
        order = list(KINDS)
        resources.sort(key=lambda r: order.index(resource_key(r).split("/")[0]))
        revision = await _write(operator, resources, dry_run, if_match)
        if wait and not dry_run:
            status = await operator.wait(revision, entries, timeout)
            click.echo(f"in force on {status.in_force} of {status.entries} entries")

    run(agents, work)


async def _write(
    operator: Operator, resources: list[Resource], dry_run: bool, if_match: int | None
) -> int:
    revision = 0
    for at in range(0, len(resources), MAX_RESOURCES):
        batch = resources[at : at + MAX_RESOURCES]
        try:
            done = await operator.apply(batch, dry_run, if_match)
        except LeverdoorError:
            if at:
                click.echo(f"{at} resources were accepted before the error", err=True)
            raise
        revision = done.revision
        for key in done.keys:
            click.echo(f"{key} {'checked' if dry_run else f'accepted at {revision}'}")
    return revision
