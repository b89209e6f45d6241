# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`leverdoor drain` and `undrain`: take places out of service and back.

A drain is a resource; with --wait the command polls the report on drains until
nothing is in flight there. Owns no state.
"""

import asyncio
from collections.abc import Sequence

import click

from leverdoor.agent.reports import DrainLine
from leverdoor.client.operator import Operator
from leverdoor.errors import Code, LeverdoorError
from leverdoor.model.resources import Drain
from leverdoor.settings import Address
from leverdoor.terminal import api_option, run

__all__ = ["drain", "undrain"]

POLL_S = 0.25
"""Seconds between two reads of what is still in flight: four calls a second of one
operator, and a wait that ends soon after the drain."""
WHAT = click.Choice(["region", "domain", "target", "vm"])


def _name(what: str, name: str) -> str:
    return f"{what}-{name}"


@click.command()
@api_option
@click.argument("what", type=WHAT)
@click.argument("name")
@click.option("--wait", is_flag=True, help="Wait until nothing is in flight there.")
@click.option("--timeout", default=60.0, help="With --wait: seconds to wait.")
def drain(
    agents: Sequence[Address], what: str, name: str, wait: bool, timeout: float
) -> None:
    """Stop new work to a region, failure domain, target or vm; cut nothing."""

    async def work(operator: Operator) -> None:
        resource = Drain(name=_name(what, name), **{what: name})
        done = await operator.apply([resource])
        click.echo(f"drain/{resource.name} accepted at {done.revision}")
        if not wait:
            return
        await operator.wait(done.revision, 1, timeout)
        await _drained(operator, resource.name, timeout)
        click.echo("drained")

    run(agents, work)


async def _drained(operator: Operator, name: str, timeout_s: float) -> None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    await asyncio.sleep(2 * POLL_S)
    while True:
        report = await operator.report("drains")
        lines = [v for v in report.lines if isinstance(v, DrainLine) and v.name == name]
        left = sum(line.in_flight for line in lines)
        if not left:
            return
        if loop.time() > deadline:
            raise LeverdoorError(Code.WAIT_EXPIRED, f"{left} still in flight")
        await asyncio.sleep(POLL_S)


@click.command()
@api_option
@click.argument("what", type=WHAT)
@click.argument("name")
def undrain(agents: Sequence[Address], what: str, name: str) -> None:
    """Take a place back into service."""

    async def work(operator: Operator) -> None:
        done = await operator.delete(f"drain/{_name(what, name)}")
        click.echo(f"back in service at {done.revision}")

    run(agents, work)
