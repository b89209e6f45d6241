# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Options, output and exit statuses common to all commands and queries.

Runs an operator command or query against the resource API and reports a LeverdoorError
as text on standard error and as an exit status. Owns no state.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import click
import msgspec

from leverdoor.client.operator import Operator
from leverdoor.errors import LeverdoorError, code_info
from leverdoor.options import ADDRESS_TYPE
from leverdoor.settings import Address

__all__ = ["api_option", "output_option", "run", "print_rows"]

DEFAULT_API = "127.0.0.1:7400"
TYPE_FIELD = "type"
"""Field that names the type of a row; JSON output has it, tables omit it."""

api_option = click.option(
    "--api",
    "agents",
    type=ADDRESS_TYPE,
    multiple=True,
    envvar="LEVERDOOR_API",
    show_envvar=True,
    default=(DEFAULT_API,),
    help="ip:port of an agent's resource API; several are tried in turn.",
)
output_option = click.option(
    "--output",
    "-o",
    type=click.Choice(["table", "json"]),
    default="table",
    help="How to print.",
)


def run(
    agents: Sequence[Address], command: Callable[[Operator], Awaitable[None]]
) -> None:
    """Run an operator command against the resource API.

    A LeverdoorError ends the process with the exit status of its code.

    Args:
      agents: addresses of agents' resource APIs, tried in turn.
      command: the command; it is called with a client of these agents.
    """
    try:
        asyncio.run(_run(agents, command))
    except LeverdoorError as e:
        field = f" (field {e.field})" if e.field else ""
        click.echo(f"error {int(e.code)} {e.code.name}: {e.detail}{field}", err=True)
        if e.retry_after_ms:
            click.echo(f"come back in {e.retry_after_ms} ms", err=True)
        sys.exit(code_info(e.code).exit_status)
    except KeyboardInterrupt:
        sys.exit(130)


async def _run(
    agents: Sequence[Address], command: Callable[[Operator], Awaitable[None]]
) -> None:
    operator = Operator([str(a) for a in agents])
    try:
        await command(operator)
    finally:
        await operator.close()


def print_rows(rows: Sequence[dict[str, Any]], output: str) -> None:
    """Print rows as a table or as JSON lines.

    Args:
      rows: the rows; the first one defines the columns of the table.
      output: `json` for JSON lines, else a table.
    """
    if output == "json":
        for row in rows:
            click.echo(msgspec.json.encode(row).decode())
        return
    if not rows:
        click.echo("(none)")
        return
    columns = [n for n in rows[0] if n != TYPE_FIELD]
    cells = [columns] + [[_format_cell(row.get(n)) for n in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for line in cells:
        text = "  ".join(c.ljust(w) for c, w in zip(line, widths, strict=True))
        click.echo(text.rstrip())


def _format_cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, list):
        return ",".join(str(v) for v in value)
    return str(value)
