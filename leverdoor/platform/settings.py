# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The settings file of a process on the platform."""

import msgspec

from leverdoor.entry.settings import EntrySettings
from leverdoor.errors import SettingsError
from leverdoor.settings import Address, parse_address
from leverdoor.workspaces.room import QuotaBounds

__all__ = ["METRICS_PORT", "PlatformSettings", "parse_settings"]

METRICS_PORT = 9464
"""As `deploy/system.toml` says; the other ports are given anew each day."""
GOSSIP_OFFSET = 0
"""Place of the heartbeat port in the range that is kept free for entries."""
PULL_OFFSET = 1
"""Place of the port for fetching the state, in the same range."""


class _Names(msgspec.Struct, rename="kebab"):
    """Fields are spelled with hyphens; unknown ones are passed over."""


class _Listen(_Names):
    frontend: str
    ready: str
    directory: str


class _Bounds(
    msgspec.Struct,
    rename={
        "grace_s": "grace-period-s",
        "drain_ms": "drain-ms",
        "repeat_ratio": "retry-budget-ratio",
        "ttl_max_s": "ttl_max_s",
        "max_shift": "max-shift",
        "quota_window_s": "quota-window-s",
        "quota_overshoot": "quota-overshoot",
        "quota_slack": "quota-slack",
        "strict_revocation": "strict-revocation",
        "revocation_ms": "revocation-ms",
    },
):
    grace_s: float = 6.0
    drain_ms: float = 2_500.0
    repeat_ratio: float = 0.2
    ttl_max_s: float = 5.0
    max_shift: float = 0.15
    quota_window_s: float = 5.0
    quota_overshoot: float = 0.1
    quota_slack: float = 20.0
    strict_revocation: bool = False
    revocation_ms: float = 5_000.0

    def quotas(self) -> QuotaBounds:
        return QuotaBounds(self.quota_window_s, self.quota_overshoot, self.quota_slack)


class _Limits(_Names):
    link_bandwidth_mbps: float = 0.0


class _Store(msgspec.Struct):
    address: str
    writes_per_s: float = 400.0


class PlatformSettings(_Names):
    """What the platform lays before a process."""

    node_name: str
    ip_address: str
    zone: str
    region: str
    zones: dict[str, str]
    listen_addresses: _Listen
    internal_port_range: list[int]
    platform: _Store
    bootstrap: bool = False
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
            lookup_ttl_s=min(2.0, self.bounds.ttl_max_s),
            grace_s=self.bounds.grace_s,
            leave_s=self.bounds.drain_ms / 1000,
            repeat_ratio=self.bounds.repeat_ratio,
            max_shift=self.bounds.max_shift,
            store_writes_per_s=self.platform.writes_per_s,
            quotas=self.bounds.quotas(),
            confirm_within_s=(
                self.bounds.revocation_ms / 1000
                if self.bounds.strict_revocation
                else 0.0
            ),
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
