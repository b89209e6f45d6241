# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`leverdoor watch`: follow changes of resources."""

from collections.abc import Sequence

import click
import msgspec

from leverdoor.client.operator import Operator
from leverdoor.model.position import UNKNOWN_ERA
from leverdoor.settings import Address
from leverdoor.terminal import api_option, run

__all__ = ["watch"]


@click.command()
@api_option
@click.argument("kind", default="")
@click.option("--since", type=int, help="Begin after this revision.")
@click.option(
    "--era", type=int, default=UNKNOWN_ERA, help="Era of the revision, if it has one."
)
def watch(agents: Sequence[Address], kind: str, since: int | None, era: int) -> None:
    """Print changes as JSON lines, without a gap after a revision."""

    async def work(operator: Operator) -> None:
        async for change in operator.watch(kind, since, era):
            click.echo(msgspec.json.encode(change).decode())

    run(agents, work)
