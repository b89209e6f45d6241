# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The command `leverdoor-standin`, which runs stand-ins as processes.

Owns no state; each stand-in keeps its own in memory, lost when the process ends.
"""

from random import Random

import click

from leverdoor.options import ADDRESS_TYPE
from leverdoor.settings import Address
from leverdoor.standins.kv import KvStandin
from leverdoor.standins.serving import serve_apps
from leverdoor.standins.targets import TargetStandin
from leverdoor.standins.vms import VmListStandin
from leverdoor.storage.vm_list_client import Vm

__all__ = ["main"]


@click.group()
def main() -> None:
    """Stand-ins for the platform and for targets; for tests and trials only."""


@main.command()
@click.option("--listen", type=ADDRESS_TYPE, required=True, help="ip:port to serve on.")
def kv(listen: Address) -> None:
    """Run the key-value service."""
    serve_apps([(KvStandin().app(), listen)])


@main.command()
@click.option("--listen", type=ADDRESS_TYPE, required=True, help="ip:port to serve on.")
@click.option("--vm", "vms", multiple=True, help="A VM on the first list.")
def vms(listen: Address, vms: tuple[str, ...]) -> None:
    """Run the list of VMs."""
    serve_apps([(VmListStandin([Vm(v) for v in vms]).app(), listen)])


@main.command()
@click.option(
    "--listen", type=ADDRESS_TYPE, multiple=True, help="ip:port of one target."
)
@click.option("--slots", type=click.IntRange(1), default=6, help="Slots of each.")
@click.option("--mean-ms", type=float, default=20.0, help="Mean service time.")
@click.option("--delay-ms", type=float, default=0.0, help="One-way link delay.")
@click.option("--seed", type=int, default=1, help="Seed of the service times.")
def targets(
    listen: tuple[Address, ...], slots: int, mean_ms: float, delay_ms: float, seed: int
) -> None:
    """Run targets, all in one process."""
    apps = []
    for i, address in enumerate(listen):
        target = TargetStandin(address, slots, Random(seed + i), delay_ms / 1000)
        target.faults.mean_ms = mean_ms
        apps.append((target.app(), address))
    serve_apps(apps)


if __name__ == "__main__":
    main()
