# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`leverdoor delete`: delete resources."""

from collections.abc import Sequence

import click

from leverdoor.client.operator import Operator
from leverdoor.settings import Address
from leverdoor.terminal import api_option, run

__all__ = ["delete"]


@click.command()
@api_option
@click.argument("keys", metavar="KIND/NAME...", nargs=-1, required=True)
@click.option("--if-match", type=int, help="Delete only at this revision.")
def delete(
    agents: Sequence[Address], keys: Sequence[str], if_match: int | None
) -> None:
    """Delete resources that nothing refers to, one after another."""

    async def work(operator: Operator) -> None:
        for key in keys:
            done = await operator.delete(key, if_match)
            click.echo(f"{key} deleted at {done.revision}")

    run(agents, work)
