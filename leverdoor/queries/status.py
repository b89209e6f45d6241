# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`leverdoor status`: how far the configuration is in force, and who is there."""

from collections.abc import Sequence

import click
import msgspec

from leverdoor.client.operator import Operator
from leverdoor.settings import Address
from leverdoor.terminal import api_option, output_option, print_rows, run

__all__ = ["status"]


@click.command()
@api_option
@output_option
def status(agents: Sequence[Address], output: str) -> None:
    """Show the latest revision, where it is in force, and the entry VMs."""

    async def work(operator: Operator) -> None:
        now = await operator.status()
        click.echo(
            f"revision {now.revision} in force on {now.in_force} of {now.entries}",
            err=output == "json",
        )
        report = await operator.report("entries")
        print_rows([msgspec.to_builtins(line) for line in report.lines], output)

    run(agents, work)
