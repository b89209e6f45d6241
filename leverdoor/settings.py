# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Checked settings of agents and gates.

The command line sets them by flag or environment variable; the entry's stand in
`leverdoor.entry.settings`. Times are in the unit that the name ends with.
"""

import ipaddress

import msgspec

from leverdoor.errors import SettingsError

__all__ = ["Address", "AgentSettings", "GateSettings", "parse_address"]


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Write it as `ip:port`."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse `ip:port`.

    Raises:
      SettingsError: it is not an IP number and a port from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
        if not 0 < number < 65_536:
            raise ValueError
    except ValueError:
        raise SettingsError(f"expected ip:port, got {text!r}") from None
    return Address(host, number)


class GateSettings(msgspec.Struct, frozen=True):
    """Settings of one gate; each field is the option of that name."""

    vm: str
    region: str
    domain: str
    listen: Address
    relay: Address
    agent: Address
    lookup_ttl_ms: int = 2_000
    leave_grace_s: float = 3.0
    seed: int = 0
    relay_as: Address | None = None

    @property
    def relay_address(self) -> str:
        """The address that other gates use: `relay_as` behind a proxy, else `relay`."""
        return str(self.relay_as or self.relay)


class AgentSettings(msgspec.Struct, frozen=True):
    """Settings of one agent; each field is the option of that name, `seeds` --peer."""

    vm: str
    region: str
    domain: str
    api: Address
    gossip: Address
    link: Address
    store: tuple[str, ...]
    vm_list: str
    seeds: tuple[Address, ...] = ()
    gossip_interval_ms: int = 200
    vm_list_interval_ms: int = 2_000
    vm_list_lag_ms: int = 10_000
    probe_interval_ms: int = 1_000
    seed: int = 0
