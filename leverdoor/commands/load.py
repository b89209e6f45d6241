# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`leverdoor load`: send a load to gates and check every answer.

Thin: `client.load` plays the plan and counts; this reads and prints. Owns no state.
"""

import asyncio
import sys
from collections.abc import Sequence
from typing import BinaryIO

import click
import msgspec

from leverdoor.client.load import Load, LoadPlan
from leverdoor.codec import parse_json
from leverdoor.errors import LeverdoorError, code_info
from leverdoor.options import ADDRESS_TYPE
from leverdoor.settings import Address
from leverdoor.terminal import output_option, print_rows

__all__ = ["load"]


@click.command()
@click.option(
    "--entry",
    "entries",
    type=ADDRESS_TYPE,
    multiple=True,
    required=True,
    help="A gate.",
)
@click.option("-f", "--file", type=click.File("rb"), required=True, help="The plan.")
@click.option("--save", type=click.File("wb"), help="Write the result as JSON.")
@output_option
def load(
    entries: Sequence[Address], file: BinaryIO, save: BinaryIO | None, output: str
) -> None:
    """Send the requests of a plan when they are due, and print what came of it."""

    async def work() -> None:
        plan = parse_json(file.read(), LoadPlan)
        result = await Load([str(e) for e in entries], plan).run()
        if save is not None:
            save.write(msgspec.json.encode(result))
        print_rows([msgspec.to_builtins(s) for s in result.streams], output)

    try:
        asyncio.run(work())
    except LeverdoorError as e:
        click.echo(str(e), err=True)
        sys.exit(code_info(e.code).exit_status)
