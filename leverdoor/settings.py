# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Settings of agents and gates, and the address type.

The command line reads them from flags or environment variables. The settings of the
entry are in `leverdoor.entry.settings`. Names of durations end with their unit. Owns no
state.
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
        """Return `ip:port`, with an IPv6 address in brackets."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse an address of the form `ip:port`.

    Args:
      text: the address; an IPv6 address may be in brackets.
    Returns: the parsed address.
    Raises:
      SettingsError: the text is not an IP address and a port from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        port_number = int(port)
        if not 0 < port_number < 65_536:
            raise ValueError
    except ValueError:
        raise SettingsError(f"expected ip:port, got {text!r}") from None
    return Address(host, port_number)


class GateSettings(msgspec.Struct, frozen=True):
    """Settings of a gate; each field has the name of its command-line option."""

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
        """The address at which other gates reach this one.

        `relay_as` is the address of a proxy in front of it; without one it is `relay`.
        """
        return str(self.relay_as or self.relay)


class AgentSettings(msgspec.Struct, frozen=True):
    """Settings of an agent.

    Each field has the name of its command-line option. Only `seeds`, the gossip
    addresses of the first peers, is set by --peer; `seed` seeds the random generator.
    """

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
