# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`leverdoor lookup`: ask which entry VMs to use, as a caller does."""

import asyncio
import sys

import click
import msgspec

from leverdoor.client.caller import Caller
from leverdoor.errors import Refusal, code_info
from leverdoor.options import ADDRESS_TYPE
from leverdoor.settings import Address
from leverdoor.terminal import output_option, print_rows

__all__ = ["lookup"]


@click.command()
@click.argument("service")
@click.option("--entry", type=ADDRESS_TYPE, required=True, help="ip:port of any gate.")
@output_option
def lookup(service: str, entry: Address, output: str) -> None:
    """Ask a gate which entry VMs serve a service."""

    async def work() -> None:
        caller = Caller([str(entry)])
        try:
            answer = await caller.lookup(service)
        finally:
            await caller.close()
        print_rows([msgspec.to_builtins(e) for e in answer.entries], output)

    try:
        asyncio.run(work())
    except Refusal as e:
        click.echo(str(e), err=True)
        sys.exit(code_info(e.code).exit_status)
