# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`leverdoor get`: read resources, of a kind or one by name.

Thin: `client.operator` reads them from an agent; this prints. Owns no state.
"""

from collections.abc import Sequence
from typing import Any

import click
import msgspec

from leverdoor.client.operator import Operator
from leverdoor.codec import decode_json
from leverdoor.settings import Address
from leverdoor.terminal import api_option, output_option, print_rows, run

__all__ = ["get"]


@click.command()
@api_option
@output_option
@click.argument("what", metavar="[KIND | KIND/NAME]", default="")
def get(agents: Sequence[Address], output: str, what: str) -> None:
    """Read all resources, those of one kind, or one."""

    async def work(operator: Operator) -> None:
        if "/" in what:
            click.echo((await operator.get_one(what)).decode())
            return
        listing = await operator.get(what)
        if output == "json":
            for item in listing.items:
                click.echo(msgspec.json.encode(item).decode())
            return
        rows = []
        for item in listing.items:
            resource = decode_json(item.resource, dict[str, Any])
            rows.append(
                {
                    "kind": resource["kind"],
                    "name": resource["name"],
                    "revision": item.revision,
                    "in force": f"{item.in_force}/{item.entries}",
                }
            )
        print_rows(rows, output)

    run(agents, work)
