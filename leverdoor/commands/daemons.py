# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`leverdoor gate` and `leverdoor agent`: the daemons of an entry VM."""

import click

from leverdoor.lifecycle import run_daemon
from leverdoor.logs import setup_logs
from leverdoor.options import ADDRESS, setting
from leverdoor.settings import Address, AgentSettings, GateSettings

__all__ = ["agent", "gate"]

LEVELS = click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"])

vm_setting = setting("--vm", required=True, help="Name of this VM, as on the list.")
region_setting = setting("--region", required=True, help="Region of this VM.")
domain_setting = setting("--domain", required=True, help="Its failure domain.")
level_setting = setting("--log-level", type=LEVELS, default="INFO")
seed_setting = setting("--seed", type=int, default=0, help="0: seed from the system.")


@click.command()
@vm_setting
@region_setting
@domain_setting
@setting("--listen", type=ADDRESS, required=True, help="Where callers come.")
@setting("--relay", type=ADDRESS, required=True, help="Where other gates come.")
@setting("--relay-as", type=ADDRESS, help="What other gates are told instead.")
@setting("--agent", type=ADDRESS, required=True, help="Link of this VM's agent.")
@setting("--lookup-ttl-ms", type=click.IntRange(100, 600_000), default=2_000)
@setting("--leave-grace-s", type=click.FloatRange(0, 600), default=3.0)
@level_setting
@seed_setting
def gate(
    vm: str,
    region: str,
    domain: str,
    listen: Address,
    relay: Address,
    relay_as: Address | None,
    agent: Address,
    lookup_ttl_ms: int,
    leave_grace_s: float,
    log_level: str,
    seed: int,
) -> None:
    """Run the data path of an entry VM.

    SIGTERM makes it leave: it stops being named by look-ups, serves cached
    answers for their time to live, finishes all in flight, and ends.
    """
    from leverdoor.gate.daemon import Gate

    setup_logs("gate", vm, log_level)
    run_daemon(
        Gate(
            GateSettings(
                vm=vm,
                region=region,
                domain=domain,
                listen=listen,
                relay=relay,
                relay_as=relay_as,
                agent=agent,
                lookup_ttl_ms=lookup_ttl_ms,
                leave_grace_s=leave_grace_s,
                seed=seed,
            )
        )
    )


@click.command()
@vm_setting
@region_setting
@domain_setting
@setting("--api", type=ADDRESS, required=True, help="Where the resource API is.")
@setting("--gossip", type=ADDRESS, required=True, help="UDP address for peers.")
@setting("--link", type=ADDRESS, required=True, help="Where this VM's gate connects.")
@setting("--store", multiple=True, required=True, help="URL of the key-value service.")
@setting("--vm-list", required=True, help="URL of the list of VMs.")
@setting("--peer", type=ADDRESS, multiple=True, help="Gossip address of a first peer.")
@setting("--gossip-interval-ms", type=click.IntRange(20, 10_000), default=200)
@setting("--vm-list-interval-ms", type=click.IntRange(100, 60_000), default=2_000)
@setting(
    "--vm-list-lag-ms",
    type=click.IntRange(0, 3_600_000),
    default=10_000,
    help="Upper bound of the list's lag; a promise rests on it.",
)
@setting("--probe-interval-ms", type=click.IntRange(100, 60_000), default=1_000)
@level_setting
@seed_setting
def agent(
    vm: str,
    region: str,
    domain: str,
    api: Address,
    gossip: Address,
    link: Address,
    store: tuple[str, ...],
    vm_list: str,
    peer: tuple[Address, ...],
    gossip_interval_ms: int,
    vm_list_interval_ms: int,
    vm_list_lag_ms: int,
    probe_interval_ms: int,
    log_level: str,
    seed: int,
) -> None:
    """Run the control path of an entry VM."""
    from leverdoor.agent.daemon import Agent

    setup_logs("agent", vm, log_level)
    run_daemon(
        Agent(
            AgentSettings(
                vm=vm,
                region=region,
                domain=domain,
                api=api,
                gossip=gossip,
                link=link,
                store=store,
                vm_list=vm_list,
                seeds=peer,
                gossip_interval_ms=gossip_interval_ms,
                vm_list_interval_ms=vm_list_interval_ms,
                vm_list_lag_ms=vm_list_lag_ms,
                probe_interval_ms=probe_interval_ms,
                seed=seed,
            )
        )
    )
