# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`leverdoor gate` and `leverdoor agent`: the daemons of an entry VM on a plain site.

Each option is a field of `GateSettings` or `AgentSettings` of the same name, except
`--peer` (`seeds`) and `--log-level`. Owns no state; the daemons are imported only
when they run, so that other commands start quickly.
"""

from typing import Any

import click

from leverdoor.lifecycle import run_daemon
from leverdoor.logs import setup_logs
from leverdoor.options import ADDRESS_TYPE, daemon_option
from leverdoor.settings import Address, AgentSettings, GateSettings

__all__ = ["agent", "gate"]

LEVELS = click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"])

vm_setting = daemon_option(
    "--vm", required=True, help="Name of this VM, as on the list."
)
region_setting = daemon_option("--region", required=True, help="Region of this VM.")
domain_setting = daemon_option("--domain", required=True, help="Its failure domain.")
level_setting = daemon_option("--log-level", type=LEVELS, default="INFO")
seed_setting = daemon_option(
    "--seed", type=int, default=0, help="0: seed from the system."
)


@click.command()
@vm_setting
@region_setting
@domain_setting
@daemon_option("--listen", type=ADDRESS_TYPE, required=True, help="Where callers come.")
@daemon_option(
    "--relay", type=ADDRESS_TYPE, required=True, help="Where other gates come."
)
@daemon_option(
    "--relay-as", type=ADDRESS_TYPE, help="What other gates are told instead."
)
@daemon_option(
    "--agent", type=ADDRESS_TYPE, required=True, help="Link of this VM's agent."
)
@daemon_option("--lookup-ttl-ms", type=click.IntRange(100, 600_000), default=2_000)
@daemon_option("--leave-grace-s", type=click.FloatRange(0, 600), default=3.0)
@level_setting
@seed_setting
def gate(log_level: str, **settings: Any) -> None:
    """Run the data path of an entry VM.

    SIGTERM makes it leave: it stops being named by look-ups, serves cached
    answers for their time to live, finishes all in flight, and ends.
    """
    from leverdoor.gate.daemon import Gate

    checked = GateSettings(**settings)
    setup_logs("gate", checked.vm, log_level)
    run_daemon(Gate(checked))


@click.command()
@vm_setting
@region_setting
@domain_setting
@daemon_option(
    "--api", type=ADDRESS_TYPE, required=True, help="Where the resource API is."
)
@daemon_option(
    "--gossip", type=ADDRESS_TYPE, required=True, help="UDP address for peers."
)
@daemon_option(
    "--link", type=ADDRESS_TYPE, required=True, help="Where this VM's gate connects."
)
@daemon_option(
    "--store", multiple=True, required=True, help="URL of the key-value service."
)
@daemon_option("--vm-list", required=True, help="URL of the list of VMs.")
@daemon_option(
    "--peer", type=ADDRESS_TYPE, multiple=True, help="Gossip address of a first peer."
)
@daemon_option("--gossip-interval-ms", type=click.IntRange(20, 10_000), default=200)
@daemon_option("--vm-list-interval-ms", type=click.IntRange(100, 60_000), default=2_000)
@daemon_option(
    "--vm-list-lag-ms",
    type=click.IntRange(0, 3_600_000),
    default=10_000,
    help="Upper bound of the list's lag; a promise rests on it.",
)
@daemon_option("--probe-interval-ms", type=click.IntRange(100, 60_000), default=1_000)
@level_setting
@seed_setting
def agent(log_level: str, peer: tuple[Address, ...], **settings: Any) -> None:
    """Run the control path of an entry VM."""
    from leverdoor.agent.daemon import Agent

    checked = AgentSettings(seeds=peer, **settings)
    setup_logs("agent", checked.vm, log_level)
    run_daemon(Agent(checked))
