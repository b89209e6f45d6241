# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The main job on one machine: start a site, do what users do, show what came."""

import argparse
import asyncio
import hashlib
import json
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec

from leverdoor.client.caller import Caller, Reply
from leverdoor.standins.deployments import Deployment, build
from leverdoor.standins.site import Site

LOOKUPS = 200
CONCURRENT = 20
UPLOAD_MB = 8
CHUNK = b"x" * 65_536


def say(text: str) -> None:
    """Print one line of what happens."""
    print(text, flush=True)


def cli(site: Site, *args: str, stdin: str = "") -> str:
    """Run the command line as an operator does; a failure ends the run."""
    api = [f"--api={a}" for a in list(site.api.values())[:2]]
    command = [sys.executable, "-m", "leverdoor.cli", args[0], *api, *args[1:]]
    done = subprocess.run(command, input=stdin, capture_output=True, text=True)
    if done.returncode:
        raise SystemExit(f"leverdoor {args[0]}: {done.stderr.strip()}")
    return done.stdout


def check(reply: Reply, path: str) -> None:
    """Fail unless an answer is whole and its own."""
    body = json.loads(reply.body)
    if reply.status != 200 or body["request_id"] != reply.request_id:
        raise SystemExit(f"{path}: an answer that is not this request's: {body}")


async def look_up(caller: Caller, service: str) -> Counter[str]:
    """Send look-ups and count which region served them."""
    served: Counter[str] = Counter()
    gate = asyncio.Semaphore(CONCURRENT)

    async def one(i: int) -> None:
        async with gate:
            reply = await caller.request(service, f"record/{i}")
            check(reply, f"record/{i}")
            served[reply.served_by.split("/")[0]] += 1

    await asyncio.gather(*(one(i) for i in range(LOOKUPS)))
    return served


async def upload(caller: Caller, service: str, path: str) -> Reply:
    """Stream an upload and check that it arrived whole."""
    count = UPLOAD_MB * 1024 * 1024 // len(CHUNK)

    async def chunks() -> AsyncIterator[bytes]:
        for _ in range(count):
            yield CHUNK

    reply = await caller.upload(service, path, chunks(), count * len(CHUNK))
    if json.loads(reply.body)["digest"] != hashlib.sha256(CHUNK * count).hexdigest():
        raise SystemExit("the upload did not arrive whole")
    return reply


async def use(site: Site, deployment: Deployment) -> None:
    """Do what callers do."""
    services = [r for r in deployment.resources if hasattr(r, "work")]
    lookup, once, mixed = services
    gates = list(site.gate.values())
    caller = Caller(gates, deployment.resources[6].callers[0])
    try:
        answer = await caller.lookup(lookup.name)
        entries = ", ".join(f"{e.address} ({e.region})" for e in answer.entries)
        say(f"look-up     {lookup.name}: use {entries} for {answer.ttl_ms} ms")
        began = time.monotonic()
        served = await look_up(caller, lookup.name)
        took = time.monotonic() - began
        say(f"served      {LOOKUPS} look-ups in {took:.2f} s: {dict(served)}")
        reply = await caller.request(once.name, "file", "POST", b"a filing")
        check(reply, "file")
        say(f"filed       once, at {reply.served_by}")
        path = mixed.bulk_prefixes[0] + "night"
        reply = await upload(caller, mixed.name, path)
        say(f"uploaded    {UPLOAD_MB} MB whole, at {reply.served_by}")
        first = next(t for t in deployment.targets if t.service == lookup.name)
        cli(site, "drain", "target", first.name, "--wait")
        served = await look_up(caller, lookup.name)
        say(f"drained     {first.name}; then {LOOKUPS} more: {dict(served)}")
    finally:
        await caller.close()


def run(name: str, scale: float) -> None:
    """Run the main job on one deployment."""
    deployment = build(name, scale)
    with tempfile.TemporaryDirectory(prefix="leverdoor-") as logs:
        site = Site(deployment, Path(logs))
        say(
            f"starting    {name}: {len(deployment.vms)} entry VMs, "
            f"{len(deployment.targets)} targets"
        )
        began = time.monotonic()
        try:
            site.start()
            say(f"started     {len(site.processes)} processes")
            resources = deployment.resources + deployment.target_resources(
                site.addresses
            )
            text = msgspec.json.encode(resources).decode()
            flags = ("--wait", f"--entries={len(deployment.vms)}")
            out = cli(site, "apply", "-f", "-", *flags, stdin=text)
            say(f"applied     {len(resources)} resources, {out.splitlines()[-1]}")
            wait_for_slots(site, sum(t.slots for t in deployment.targets))
            asyncio.run(use(site, deployment))
            say(cli(site, "report", "headroom").rstrip())
            say(cli(site, "report", "burn").rstrip())
        except BaseException:
            show_logs(Path(logs))
            raise
        finally:
            site.stop()
    say(f"done        {name} in {time.monotonic() - began:.1f} s, nothing left running")


def wait_for_slots(site: Site, slots: int) -> None:
    """Wait until every slot is held by a gate and free."""
    deadline = time.monotonic() + 30
    while True:
        out = cli(site, "report", "headroom", "-o", "json")
        free = sum(json.loads(line)["free"] for line in out.splitlines())
        if free == slots:
            say(f"ready       {slots} slots held")
            return
        if time.monotonic() > deadline:
            raise SystemExit(f"only {free} of {slots} slots are held")
        time.sleep(0.2)


def show_logs(folder: Path) -> None:
    """Show the end of each log when a step failed."""
    for log in sorted(folder.glob("*.log")):
        lines = log.read_text(errors="replace").splitlines()[-5:]
        print(f"--- {log.name}", *lines, sep="\n", file=sys.stderr)


def main() -> None:
    """Run both deployments, or the one asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=["utility", "logbook"])
    parser.add_argument("--scale", type=float, default=1.0)
    args = parser.parse_args()
    names = [args.deployment] if args.deployment else ["utility", "logbook"]
    for name in names:
        run(name, args.scale)


if __name__ == "__main__":
    main()
