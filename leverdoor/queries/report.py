# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`leverdoor report`: read or watch a report."""

from collections.abc import Sequence

import click
import msgspec

from leverdoor.agent.reports import REPORTS
from leverdoor.client.operator import Operator
from leverdoor.settings import Address
from leverdoor.terminal import api_option, output_option, print_rows, run

__all__ = ["report"]


@click.command()
@api_option
@output_option
@click.argument("name", type=click.Choice(REPORTS))
@click.option("--watch", is_flag=True, help="Print it each time it changes, as JSON.")
def report(agents: Sequence[Address], output: str, name: str, watch: bool) -> None:
    """Show a report: burn, headroom, shifts, drains or entries."""

    async def work(operator: Operator) -> None:
        if watch:
            async for line in operator.watch_report(name):
                click.echo(line.decode())
            return
        found = await operator.report(name)
        print_rows([msgspec.to_builtins(line) for line in found.lines], output)
        if found.missing:
            click.echo(f"missing: {', '.join(found.missing)}", err=True)

    run(agents, work)
