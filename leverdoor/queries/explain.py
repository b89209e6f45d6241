# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`leverdoor explain`: what became of a request, from log files.

Thin: `analysis.explaining` finds the way and the cause. Owns no state.
"""

import sys
from collections.abc import Iterator
from typing import TextIO

import click

from leverdoor.analysis.explaining import explain as explain_request
from leverdoor.analysis.log_lines import parse_log
from leverdoor.errors import Code, code_info

__all__ = ["explain"]


@click.command()
@click.argument("request_id")
@click.argument("logs", type=click.File("r", errors="replace"), nargs=-1)
def explain(request_id: str, logs: tuple[TextIO, ...]) -> None:
    """Explain what became of REQUEST_ID from the entries' LOGS.

    Without LOGS, or for `-`, standard input is read.
    """
    log = parse_log(_lines(logs or (sys.stdin,)))
    if log.bad:
        click.echo(f"{len(log.bad)} lines are not events of an entry", err=True)
    found = explain_request(request_id, log.events)
    if found is None:
        click.echo(f"no line of these logs names {request_id}", err=True)
        sys.exit(code_info(Code.NOT_FOUND).exit_status)
    for line in found.way:
        click.echo(line)
    if found.beliefs:
        click.echo("believed there:")
    for line in found.beliefs:
        click.echo(f"  {line}")
    click.echo(f"cause: {found.cause}")


def _lines(logs: tuple[TextIO, ...]) -> Iterator[str]:
    for log in logs:
        yield from log
