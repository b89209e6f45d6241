# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Do processes of two versions serve together without breaking a promise?

    python benchmarks/mixed_versions.py entries --older OTHER/.venv/bin/python
    python benchmarks/mixed_versions.py plain --older OTHER/.venv/bin/python
    python benchmarks/mixed_versions.py takeover --older OTHER/.venv/bin/python

OTHER is a checkout of another version with a venv of its own. `entries` is the soak
(`leverdoor soak`) in which every second entry is started by that Python. `plain` is a
plain site under load: of each four VMs one runs both agent and gate of this version,
one both of the other, and two one of each; a gate of each version is killed and
started again. `takeover` lets entries of this version take the place of the other's on
the same store and settings files (benchmarks/takeover.py). Each prints a line of JSON
a run and ends with 1 if a promise was broken.

State: none beyond a run. Relies on the soak, on the stand-in of a plain site, and on
both versions having the same command lines.
"""

import asyncio
import json
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path

import click
import msgspec

import leverdoor
from leverdoor.client.load import Load, LoadPlan, LoadResult, Stream
from leverdoor.errors import Run
from leverdoor.standins.deployments import build
from leverdoor.standins.entry_process import EntryProcess, Place
from leverdoor.standins.site import Site, configure, target_logs
from leverdoor.standins.soak.run import Soak
from leverdoor.standins.soak.site import SoakSite
from leverdoor.standins.targets import TargetLog
from takeover import Mode, Takeover, TakeoverPlan, check_builds, older_build

BROKEN = 1
"""Exit status when a promise was broken."""
SCALE = 0.5
"""Size of the plain site: 6 of the utility's 12 VMs, so that all pairs occur."""
KILL_S = 2.0
"""When the first gate is killed, in seconds; the second as much later."""
DOWN_S = 1.0
"""How long a killed gate is away, in seconds."""
AGENT_FLAGS = [
    "--gossip-interval-ms=100",
    "--vm-list-interval-ms=300",
    "--vm-list-lag-ms=1500",
]
GATE_FLAGS = ["--lookup-ttl-ms=500", "--leave-grace-s=0.5"]
"""Shorter times than a site's own, so that a run of seconds sees all of them."""


def python_command(python: Path) -> list[str]:
    """Return a command that runs modules of a Python's own packages.

    Without -P the package in the working directory, this version's, would go first.
    """
    return [str(python), "-P"]


class MixedSoakSite(SoakSite):
    """The site of a soak in which every second entry is of the other version."""

    def __init__(self, older: Path) -> None:
        super().__init__()
        self._older = older

    def _entry(self, name: str, place: Place, store: str) -> EntryProcess:
        entry = super()._entry(name, place, store)
        if len(self.entries) % 2:
            entry.python = python_command(self._older)
        return entry


def mix_plain_site(site: Site, older: Path) -> None:
    """Choose the version of each agent and gate of a plain site."""
    for number, vm in enumerate(site.deployment.vms):
        if number % 4 in (1, 2):
            site.pythons[f"agent-{vm.vm}"] = python_command(older)
        if number % 4 in (1, 3):
            site.pythons[f"gate-{vm.vm}"] = python_command(older)


def load_plan(seconds: float, seed: int) -> LoadPlan:
    """Return look-ups, and requests that may run at most once."""
    streams = (
        Stream("call-records", "ward", 120.0, attempts=3),
        Stream("call-records", "towers", 60.0, attempts=3),
        Stream("disputes", "ward", 30.0, "POST", body=100, attempts=3),
        Stream("records", "police", 30.0, "PUT", body=100, attempts=3),
    )
    return LoadPlan(streams, seconds, seed)


async def kill_gates(site: Site) -> None:
    """Kill a gate of this version and one of the other, and start them again."""
    for vm in site.deployment.vms[:2]:
        await asyncio.sleep(KILL_S)
        await asyncio.to_thread(site.kill, f"gate-{vm.vm}")
        await asyncio.sleep(DOWN_S)
        site.start_gate(vm)


async def play_plain_site(site: Site, seconds: float, seed: int) -> LoadResult:
    await (await configure(site)).close()
    load = Load(list(site.gate.values()), load_plan(seconds, seed))
    result, _ = await asyncio.gather(load.run(), kill_gates(site))
    return result


def plain_breaches(result: LoadResult, logs: dict[str, TargetLog]) -> list[str]:
    """Return one line for each promise that is broken."""
    ran: Counter[str] = Counter()
    keys: Counter[str] = Counter()
    found = []
    for name, log in logs.items():
        if log.most_in_flight > log.slots:
            found.append(f"SLOTS {name}: {log.most_in_flight} of {log.slots}")
        for arrival in log.arrivals:
            ran[arrival.request_id] += arrival.ran
            if arrival.key:
                keys[arrival.key] += arrival.ran
    wrong = sum(s.wrong for s in result.streams)
    if wrong:
        found.append(f"MIXED {wrong} answers that are not the request's own")
    found += [f"TWICE {key}: run {n} times" for key, n in keys.items() if n > 1]
    found += [
        f"REFUSED {request_id}: it ran"
        for request_id, told in result.told.items()
        if told == Run.NO and ran[request_id]
    ]
    if not sum(s.good for s in result.streams):
        found.append("LOST all requests")
    return found


def package_of(python: Path) -> str:
    """Return where a Python finds the package, whatever the working directory."""
    code = "import leverdoor; print(leverdoor.__file__)"
    done = subprocess.run(
        [*python_command(python), "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout.strip()


def check_differs(older: Path) -> None:
    """Refuse a Python that would start this version."""
    if package_of(older) == leverdoor.__file__:
        raise click.UsageError(f"{older} starts this version")


@click.group()
def main() -> None:
    """Play processes of two versions together."""


OLDER = click.option(
    "--older", type=click.Path(path_type=Path, exists=True), required=True
)


@main.command()
@OLDER
@click.option("--seed", default=1, help="First seed.")
@click.option("--count", default=1, help="Seeds.")
@click.option("--seconds", default=15.0, help="Within which all troubles begin.")
@click.option("--troubles", default=20, help="How many.")
def entries(older: Path, seed: int, count: int, seconds: float, troubles: int) -> None:
    """Play soaks with every second entry of the other version."""
    check_differs(older)
    broken = False
    for number in range(seed, seed + count):
        soak = Soak(number, seconds, troubles, site=MixedSoakSite(older))
        verdict = asyncio.run(soak.run())
        broken |= bool(verdict.breaches)
        print(msgspec.json.encode(verdict).decode(), flush=True)
    sys.exit(BROKEN if broken else 0)


@main.command()
@OLDER
@click.option("--seed", default=1, help="Seed of the load.")
@click.option("--seconds", default=10.0, help="How long the load lasts.")
def plain(older: Path, seed: int, seconds: float) -> None:
    """Play a plain site with agents and gates of both versions."""
    check_differs(older)
    with tempfile.TemporaryDirectory() as logs:
        site = Site(build("utility", SCALE), Path(logs), 20.0, AGENT_FLAGS, GATE_FLAGS)
        mix_plain_site(site, older)
        try:
            site.start()
            result = asyncio.run(play_plain_site(site, seconds, seed))
            breaches = plain_breaches(result, target_logs(site))
        finally:
            site.stop()
    row = {
        "seed": seed,
        "sent": sum(s.sent for s in result.streams),
        "good": sum(s.good for s in result.streams),
        "older": len(site.pythons),
        "breaches": breaches,
    }
    print(json.dumps(row), flush=True)
    sys.exit(BROKEN if breaches else 0)


@main.command()
@OLDER
@click.option("--seed", default=1, help="First seed.")
@click.option("--count", default=1, help="Seeds.")
@click.option("--at-once", "mode", flag_value=Mode.AT_ONCE, help="Only all at once.")
@click.option(
    "--one-by-one", "mode", flag_value=Mode.ONE_BY_ONE, help="Only one after the other."
)
@click.option("--control", is_flag=True, help="The older takes over from itself.")
@click.option("--back", is_flag=True, help="One entry goes back to the older.")
def takeover(
    older: Path, seed: int, count: int, mode: str | None, control: bool, back: bool
) -> None:
    """Let entries of this version take over from the other's."""
    build = older_build(older)
    try:
        check_builds(build)
    except ValueError as e:
        raise click.UsageError(str(e)) from None
    broken = False
    for number in range(seed, seed + count):
        for played in [Mode(mode)] if mode else list(Mode):
            plan = TakeoverPlan(number, played, control, back)
            result = asyncio.run(Takeover(plan, build).run())
            broken |= bool(result.breaches)
            print(msgspec.json.encode(result).decode(), flush=True)
    sys.exit(BROKEN if broken else 0)


if __name__ == "__main__":
    main()
