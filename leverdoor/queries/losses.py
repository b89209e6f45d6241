# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`leverdoor losses`: where requests were lost, from log files.

Thin: `analysis.losses` finds the causes; this reads files and prints. Owns no state.
"""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import TextIO

import click

from leverdoor.analysis.log_lines import parse_log
from leverdoor.analysis.losses import LossReport, find_losses, summarize
from leverdoor.analysis.plots import plot_losses
from leverdoor.errors import LeverdoorError, code_info
from leverdoor.terminal import output_option, print_rows

__all__ = ["losses"]

FIELDS = ("service", "region", "domain", "second", "kind", "cause")
BAD_SHOWN = 3
"""Unreadable lines that are named one by one; the rest are counted."""


@click.command()
@click.argument("logs", type=click.File("r", errors="replace"), nargs=-1)
@click.option(
    "--by",
    type=click.Choice(FIELDS),
    multiple=True,
    default=("service", "kind", "cause"),
    show_default=True,
    help="Count by this field; may be given several times.",
)
@click.option(
    "--plot",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Draw lost requests over time into this file (needs matplotlib).",
)
@output_option
def losses(
    logs: tuple[TextIO, ...], by: tuple[str, ...], plot: Path | None, output: str
) -> None:
    """Say where requests were lost, from the LOGS of entries, and why.

    Without LOGS, or for `-`, standard input is read. A request is one attempt of
    a client. Causes come from measured times, not from what entries expected.
    """
    try:
        report = find_losses(parse_log(_lines(logs or (sys.stdin,))))
        if plot is not None:
            plot_losses(report.losses, plot)
    except LeverdoorError as e:
        click.echo(f"error {int(e.code)} {e.code.name}: {e.detail}", err=True)
        sys.exit(code_info(e.code).exit_status)
    print_rows(summarize(report.losses, by), output)
    _print_bounds(report)


def _print_bounds(report: LossReport) -> None:
    """Print to standard error what the counts rest on."""
    lost = len(report.losses)
    click.echo(f"{lost} of {report.requests} requests were lost", err=True)
    click.echo(
        f"of {report.runs} runs that had a slot at once"
        f" {report.believed_warm_ran_cold} ran cold though believed warm and"
        f" {report.believed_cold_ran_warm} warm though believed cold",
        err=True,
    )
    for event, count in sorted(report.left_out.items()):
        click.echo(f"{count} lines of '{event}' were left out by the logs", err=True)
    for bad in report.bad[:BAD_SHOWN]:
        click.echo(f"line {bad.number} not read: {bad.why}", err=True)
    more = len(report.bad) - BAD_SHOWN
    if more > 0:
        click.echo(f"{more} more lines not read", err=True)


def _lines(logs: tuple[TextIO, ...]) -> Iterator[str]:
    for log in logs:
        yield from log
