# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Plays crowds against an entry, or a gate or an agent of a plain site.

A line for each play: resident memory before, at its peak with what the kernel held
unread, and after; how ordinary callers fared; what the crowd met.

benchmarks/crowds.py [--seconds S] [--memory-mb M] [--endpoints D,..] [CROWD ...]
"""

import asyncio

import click

from leverdoor.standins.crowds.crowd import CROWDS
from leverdoor.standins.crowds.entry_play import ENDPOINTS, play_at_entry
from leverdoor.standins.crowds.plain_play import PLAIN_ENDPOINTS, play_at_plain_site


@click.command()
@click.option("--seconds", default=8.0, help="Duration of each play.")
@click.option("--memory-mb", default=300, help="Memory of the VM.")
@click.option("--descriptors", default=4100, help="File descriptors of the VM.")
@click.option("--endpoints", default=",".join(ENDPOINTS), help="Where the crowds go.")
@click.option("--deadline", default=3.0, help="Deadline of ordinary callers, in s.")
@click.argument("names", nargs=-1)
def main(
    seconds: float,
    memory_mb: int,
    descriptors: int,
    endpoints: str,
    deadline: float,
    names: tuple[str, ...],
) -> None:
    """Play crowds against an entry."""
    for name in names or tuple(CROWDS):
        for endpoint in endpoints.split(","):
            vm = {"memory-mb": memory_mb, "file-descriptors": descriptors}
            if endpoint in PLAIN_ENDPOINTS:
                play = play_at_plain_site(CROWDS[name], endpoint, seconds, deadline)
            else:
                play = play_at_entry(CROWDS[name], endpoint, seconds, vm, deadline)
            result = asyncio.run(play)
            click.echo(f"{endpoint}: {result.line()}")


if __name__ == "__main__":
    main()
