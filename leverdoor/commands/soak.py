# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`leverdoor soak`: real entries on this machine under random troubles."""

import asyncio
import sys
import time
from pathlib import Path

import click
import msgspec

__all__ = ["soak"]

BROKEN = 1
"""Exit status when a promise was broken."""


@click.command()
@click.option("--seed", type=int, default=None, help="First seed; drawn if left out.")
@click.option("--count", type=click.IntRange(1, 10_000), default=1, help="Seeds.")
@click.option("--seconds", type=click.FloatRange(1.0, 3_600.0), default=15.0)
@click.option("--troubles", type=click.IntRange(0, 1_000), default=20)
@click.option("--fatal", type=click.IntRange(0, 10), default=0, help="Requests.")
@click.option("--limits", type=click.IntRange(0, 6), default=0, help="Targets.")
@click.option("--cuts", type=click.IntRange(0, 1_000), default=0, help="Of ways.")
@click.option("--reports", type=click.IntRange(0, 6), default=0, help="Targets.")
@click.option("--restores", type=click.IntRange(0, 100), default=0, help="Drills.")
@click.option("--links", type=click.IntRange(0, 100), default=0, help="Cuts.")
@click.option("--large", type=click.IntRange(0, 50), default=0, help="A second.")
@click.option("--broken", type=click.IntRange(0, 6), default=0, help="Targets.")
@click.option("--entries", type=click.IntRange(1, 40), default=None, help="A region.")
@click.option("--logs", type=click.Path(path_type=Path), help="Keep logs of failures.")
def soak(
    seed: int | None,
    count: int,
    seconds: float,
    troubles: int,
    fatal: int,
    limits: int,
    cuts: int,
    reports: int,
    restores: int,
    links: int,
    large: int,
    broken: int,
    entries: int | None,
    logs: Path | None,
) -> None:
    """Play soaks one after the other; a line of JSON for each.

    With --fatal, so many requests come that end each target that runs them; with
    --limits, so many targets name limits for all entries together. With --cuts, twelve
    entries run, ways between them and to the store are cut so many times, and changes
    must be in force in time. With --reports, so many targets at a time leave, or ask
    for rest, in their answers. With --restores, the store comes back so many times from
    a copy without its latest changes; changes must be in force in time. With --links,
    entries lose their links to targets so many times. With --large, so many
    configurations a second of nearly the store's largest value are written one after
    the other. With --broken, so many targets send replies without end, and entries know
    of the smallest VM. In every soak, an entry that goes over the memory of the
    smallest VM is killed, and a promise is broken.
    """
    from leverdoor.standins.soak.run import Soak, SoakOptions
    from leverdoor.standins.soak.site import SoakSite

    first = time.time_ns() % 1_000_000_007 if seed is None else seed
    failed = 0
    options = SoakOptions(fatal, limits, cuts, reports, restores, links, large, broken)
    for number in range(first, first + count):
        site = SoakSite(entries) if entries is not None else None
        soak = Soak(number, seconds, troubles, options, site)
        verdict = asyncio.run(soak.run(logs))
        failed += bool(verdict.breaches)
        click.echo(msgspec.json.encode(verdict).decode())
    sys.exit(BROKEN if failed else 0)
