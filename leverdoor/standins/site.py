# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Starts a whole plain site on loopback, each part a process, for trials and tests.

State: the processes started here and their addresses; `stop` ends them. Relies on the
commands of agents and gates, and on `leverdoor-standin` for store, VM list and targets.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections.abc import Sequence
from pathlib import Path
from random import SystemRandom

import msgspec

from leverdoor.agent.reports import HeadroomLine
from leverdoor.client.operator import Operator
from leverdoor.standins.deployments import Deployment, EntryVm
from leverdoor.standins.targets import TargetLog

__all__ = ["Site", "configure", "free_ports", "target_logs"]

HOST = "127.0.0.1"
PORT_PARTS = 4
"""Parts of the port range, so that sites side by side draw from their own."""
LOWEST_PORT = 12_000
"""First port of the range."""
HIGHEST_PORT = 32_000
"""Last port of the range; below those of outgoing connections."""
START_TIMEOUT_S = 30.0
"""Longest time that a site may take to start, in seconds."""
STOP_TIMEOUT_S = 20.0
"""Longest time that a site may take to stop, in seconds."""
POLL_S = 0.05
"""Seconds between two looks while something is awaited."""


class Site:
    """The processes of one deployment and their addresses."""

    def __init__(
        self,
        deployment: Deployment,
        logs: Path,
        mean_ms: float = 20.0,
        agent_flags: Sequence[str] = (),
        gate_flags: Sequence[str] = (),
    ) -> None:
        """Choose addresses; nothing is started yet.

        Args:
          deployment: what to start.
          logs: folder for the processes' logs.
          mean_ms: mean service time of targets.
          agent_flags: more flags for every agent.
          gate_flags: more flags for every gate.
        """
        self.deployment = deployment
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.pythons: dict[str, list[str]] = {}
        """By process, the command that runs it where it is not this Python."""
        self._logs = logs
        self._mean_ms = mean_ms
        self._agent_flags = list(agent_flags)
        self._gate_flags = list(gate_flags)
        self._ports = free_ports(5 * len(deployment.vms) + len(deployment.targets) + 2)
        self.kv = self._port()
        self.vms = self._port()
        self.addresses = {t.name: self._port() for t in deployment.targets}
        self.api = {v.vm: self._port() for v in deployment.vms}
        self.gossip = {v.vm: self._port() for v in deployment.vms}
        self.link = {v.vm: self._port() for v in deployment.vms}
        self.gate = {v.vm: self._port() for v in deployment.vms}
        self.relay = {v.vm: self._port() for v in deployment.vms}

    def _port(self) -> str:
        return f"{HOST}:{self._ports.pop()}"

    # Starting.

    def start(self) -> None:
        """Start the platform's stand-ins, targets, agents and gates."""
        self.start_kv()
        names = [f"--vm={v.vm}" for v in self.deployment.vms]
        self.spawn("vms", "standins.cli", "vms", "--listen", self.vms, *names)
        self.start_targets()
        self.wait_port(self.kv)
        for vm in self.deployment.vms:
            self.start_agent(vm)
            self.start_gate(vm)
        for vm in self.deployment.vms:
            self.wait_port(self.api[vm.vm])

    def start_kv(self) -> None:
        """Start the key-value stand-in."""
        self.spawn("kv", "standins.cli", "kv", "--listen", self.kv)

    def start_targets(self) -> None:
        """Start the target stand-ins, one process for each region."""
        by_region: dict[str, list[str]] = {}
        slots = 1
        for t in self.deployment.targets:
            by_region.setdefault(t.region, []).append(self.addresses[t.name])
            slots = t.slots
        for i, (region, addresses) in enumerate(sorted(by_region.items())):
            listen = [f"--listen={a}" for a in addresses]
            self.spawn(
                f"targets-{region}",
                "standins.cli",
                "targets",
                *listen,
                f"--slots={slots}",
                f"--mean-ms={self._mean_ms}",
                f"--seed={i * 1000}",
            )

    def start_agent(self, vm: EntryVm) -> None:
        """Start the agent of a VM."""
        seeds = [f"--peer={self.gossip[v.vm]}" for v in self.deployment.vms[:3]]
        self.spawn(
            f"agent-{vm.vm}",
            "cli",
            "agent",
            *_place(vm),
            f"--api={self.api[vm.vm]}",
            f"--gossip={self.gossip[vm.vm]}",
            f"--link={self.link[vm.vm]}",
            f"--store=http://{self.kv}",
            f"--vm-list=http://{self.vms}/vms",
            *seeds,
            *self._agent_flags,
        )

    def start_gate(self, vm: EntryVm) -> None:
        """Start the gate of a VM."""
        self.spawn(
            f"gate-{vm.vm}",
            "cli",
            "gate",
            *_place(vm),
            f"--listen={self.gate[vm.vm]}",
            f"--relay={self.relay[vm.vm]}",
            f"--agent={self.link[vm.vm]}",
            *self._gate_flags,
        )

    def spawn(self, name: str, module: str, *args: str) -> None:
        """Start one process and log what it says."""
        self._logs.mkdir(parents=True, exist_ok=True)
        python = self.pythons.get(name, [sys.executable])
        with open(self._logs / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [*python, "-m", f"leverdoor.{module}", *args],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    # Waiting.

    def wait_port(self, address: str) -> None:
        """Wait until somebody listens."""
        host, port = address.split(":")
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                socket.create_connection((host, int(port)), 1.0).close()
                return
            except OSError:
                if time.monotonic() > deadline:
                    raise TimeoutError(f"nobody listens at {address}") from None
                time.sleep(POLL_S)

    # Faults.

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process started here."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process started here and wait until it is gone."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()

    def post(self, address: str, path: str, body: object) -> None:
        """Order something from a stand-in."""
        request = urllib.request.Request(
            f"http://{address}{path}", data=json.dumps(body).encode(), method="POST"
        )
        urllib.request.urlopen(request, timeout=5).close()

    def list_vms(self, states: dict[str, str], lag_s: float = 0.0) -> None:
        """Order a new list of VMs."""
        vms = [{"vm": vm, "state": state} for vm, state in states.items()]
        self.post(self.vms, "/standin/vms", {"vms": vms, "lag_s": lag_s})

    # Stopping.

    def stop(self) -> None:
        """End everything started here, gates first."""
        order = sorted(self.processes, key=lambda n: not n.startswith("gate"))
        for name in order:
            process = self.processes[name]
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)
        self.processes.clear()


def _place(vm: EntryVm) -> list[str]:
    return [f"--vm={vm.vm}", f"--region={vm.region}", f"--domain={vm.domain}"]


def free_ports(count: int) -> list[int]:
    """Choose ports that are free now.

    They lie below the range from which the system takes ports for outgoing
    connections, so that none of those takes one before its listener does, and
    in this process's part of it, so that another run beside it seldom does.
    """
    chosen: list[int] = []
    rng = SystemRandom()
    size = (HIGHEST_PORT - LOWEST_PORT) // PORT_PARTS
    lowest = LOWEST_PORT + os.getpid() % PORT_PARTS * size
    while len(_given) > size // 2:
        del _given[next(iter(_given))]
    while len(chosen) < count:
        port = rng.randrange(lowest, lowest + size)
        if port not in _given and _is_free(port):
            _given[port] = None
            chosen.append(port)
    return chosen


_given: dict[int, None] = {}
"""Ports that `free_ports` gave in this process, the oldest first."""


def _is_free(port: int) -> bool:
    """Return whether a port is free for TCP and for UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as s:
            try:
                s.bind((HOST, port))
            except OSError:
                return False
    return True


async def configure(site: Site) -> Operator:
    """Apply a site's resources and wait until every slot can be used.

    Returns: the operator that did it, still open.
    """
    d = site.deployment
    operator = Operator(list(site.api.values()))
    done = await operator.apply(d.resources + d.target_resources(site.addresses))
    await operator.wait(done.revision, len(d.vms), START_TIMEOUT_S)
    slots = sum(t.slots for t in d.targets)
    async with asyncio.timeout(START_TIMEOUT_S):
        while await free_slots(operator) < slots:
            await asyncio.sleep(POLL_S)
    return operator


async def free_slots(operator: Operator) -> int:
    """Count the slots that gates say are free."""
    report = await operator.report("headroom")
    return sum(v.free for v in report.lines if isinstance(v, HeadroomLine))


def target_logs(site: Site, region: str = "") -> dict[str, TargetLog]:
    """Fetch what targets saw, of one region or of all."""
    found = {}
    for t in site.deployment.targets:
        if region in ("", t.region):
            url = f"http://{site.addresses[t.name]}/.standin/log"
            with urllib.request.urlopen(url, timeout=10) as answer:
                found[t.name] = msgspec.json.decode(answer.read(), type=TargetLog)
    return found
