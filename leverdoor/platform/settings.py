# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The settings file of a process on the platform, and its translation.

Fields have the file's names; unknown ones are passed over. Owns no state.
"""

import msgspec

from leverdoor.entry.settings import EntrySettings
from leverdoor.errors import SettingsError
from leverdoor.settings import Address, parse_address
from leverdoor.workspaces.quota_bounds import QuotaBounds

__all__ = ["METRICS_PORT", "PlatformSettings", "parse_settings"]

METRICS_PORT = 9464
"""As `deploy/system.toml` says; the other ports are given at each deployment."""
GOSSIP_OFFSET = 0
"""Place of the heartbeat port in the range that is kept free for entries."""
PULL_OFFSET = 1
"""Place of the port for fetching the state, in the same range."""


LOOKUP_TTL_S = 2.0
"""How long clients may keep a look-up, in seconds, if the deployment allows it.

A leaving entry accepts connections for that long (`entry.daemon`). Greater, a stop
takes longer and clients go on to dead entries; smaller, there are more look-ups.
"""


class _Names(msgspec.Struct, rename="kebab"):
    """Fields are spelled with hyphens; unknown ones are passed over."""


class _Listen(_Names):
    """Addresses as `ip:port`."""

    frontend: str
    ready: str
    directory: str


class _Bounds(
    msgspec.Struct,
    rename={
        "grace_s": "grace-period-s",
        "drain_ms": "drain-ms",
        "repeat_ratio": "retry-budget-ratio",
        "repeat_slack": "retry-budget-slack",
        "ttl_max_s": "ttl_max_s",
        "max_shift": "max-shift",
        "quota_window_s": "quota-window-s",
        "quota_overshoot": "quota-overshoot",
        "quota_slack": "quota-slack",
        "strict_revocation": "strict-revocation",
        "revocation_ms": "revocation-ms",
    },
):
    """Bounds that the operator sets."""

    grace_s: float = 6.0
    """How long a planned stop of an entry may take."""
    drain_ms: float = 2_500.0
    """Within which time a leaving target must get no new requests."""
    repeat_ratio: float = 0.2
    """Retries of all entries together, as a share of requests."""
    repeat_slack: float = 64.0
    """Retries of all entries together beyond that."""
    ttl_max_s: float = 5.0
    """Longest time for which a client may keep a look-up."""
    max_shift: float = 0.15
    """Largest share of a region's requests that may change region in 2 s."""
    quota_window_s: float = 5.0
    quota_overshoot: float = 0.1
    """As a share of a quota."""
    quota_slack: float = 20.0
    """In requests, beyond the overshoot."""
    strict_revocation: bool = False
    """Refuse keys that may have been revoked for longer than `revocation_ms`."""
    revocation_ms: float = 5_000.0

    def quotas(self) -> QuotaBounds:
        """Return how far the use of a quota may go beyond it."""
        return QuotaBounds(self.quota_window_s, self.quota_overshoot, self.quota_slack)

    def confirm_within_s(self) -> float:
        """Return the age of the store's last answer at which keys are refused.

        Returns: seconds; 0 for never.
        """
        return self.revocation_ms / 1000 if self.strict_revocation else 0.0


class _Limits(_Names):
    """What the VM has."""

    link_bandwidth_mbps: float = 0.0


class _Store(msgspec.Struct):
    """The metadata store."""

    address: str
    writes_per_s: float = 400.0
    """Writing calls that it takes in a second, of all entries together."""
    reads_per_s: float = 2_000.0
    """The same for reading calls."""


class PlatformSettings(_Names):
    """The settings file of one entry."""

    node_name: str
    ip_address: str
    zone: str
    """The VM's failure domain."""
    region: str
    zones: dict[str, str]
    """All failure domains, each with its region."""
    listen_addresses: _Listen
    internal_port_range: list[int]
    """First and last port that are kept free for traffic among entries."""
    platform: _Store
    """The metadata store, which is all that an entry uses of the platform."""
    bootstrap: bool = False
    """No entry of the deployment ran before."""
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)

    def entry(self) -> EntrySettings:
        """Return the settings in the product's names."""
        listen = self.listen_addresses
        first = self.internal_port_range[0]
        return EntrySettings(
            name=self.node_name,
            region=self.region,
            domain=self.zone,
            domains=self.zones,
            front=parse_address(listen.frontend),
            ready=parse_address(listen.ready),
            directory=parse_address(listen.directory),
            gossip=Address(self.ip_address, first + GOSSIP_OFFSET),
            pull=Address(self.ip_address, first + PULL_OFFSET),
            metrics=Address(self.ip_address, METRICS_PORT),
            lookup_ttl_s=min(LOOKUP_TTL_S, self.bounds.ttl_max_s),
            grace_s=self.bounds.grace_s,
            leave_s=self.bounds.drain_ms / 1000,
            repeat_ratio=self.bounds.repeat_ratio,
            repeat_slack=self.bounds.repeat_slack,
            max_shift=self.bounds.max_shift,
            store_writes_per_s=self.platform.writes_per_s,
            store_reads_per_s=self.platform.reads_per_s,
            quotas=self.bounds.quotas(),
            confirm_within_s=self.bounds.confirm_within_s(),
            first_start=self.bootstrap,
            link_mbps=round(self.limits.link_bandwidth_mbps),
        )


def parse_settings(data: bytes) -> PlatformSettings:
    """Parse a settings file.

    Raises:
      SettingsError: a field is missing or wrong; its name is in the text.
    """
    try:
        return msgspec.json.decode(data, type=PlatformSettings)
    except msgspec.MsgspecError as e:
        raise SettingsError(str(e)) from None
