# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Decodes the platform's settings file and converts it to entry settings.

Fields have the names of the file; unknown fields are ignored. Owns no state.
"""

import msgspec

from leverdoor.codec import decode_json
from leverdoor.entry.settings import EntrySettings
from leverdoor.errors import SettingsError
from leverdoor.settings import Address, parse_address
from leverdoor.workspaces.quota_bounds import QuotaBounds

__all__ = ["METRICS_PORT", "PlatformSettings", "parse_settings"]

METRICS_PORT = 9464
"""Metrics port, as in `deploy/system.toml`; the settings file sets all other ports."""
HEARTBEAT_PORT_OFFSET = 0
"""Offset of the heartbeat port in the internal port range."""
STATE_TRANSFER_PORT_OFFSET = 1
"""Offset of the state transfer port in the internal port range."""


PRESSURE_CONTRACT = "pressure"
"""Name in `contracts` of the rules on requests beyond the capacity of targets."""
LOOKUP_TTL_S = 2.0
"""Time for which clients may cache a look-up, in seconds, unless `ttl_max_s` is less.

A leaving entry accepts connections for this time (`entry.daemon`). With a greater value
a stop takes longer and clients use failed entries for longer; with a smaller value
there are more look-ups.
"""


class _KebabStruct(msgspec.Struct, rename="kebab"):
    """Base of structs whose field names have hyphens; ignores unknown fields."""


class _Listen(_KebabStruct):
    """Addresses on which the entry listens, as `ip:port`."""

    frontend: str
    """Address for requests."""
    ready: str
    """Address for readiness checks."""
    directory: str
    """Address for look-ups."""


class _OperatorLimits(
    msgspec.Struct,
    rename={
        "grace_s": "grace-period-s",
        "drain_ms": "drain-ms",
        "repeat_ratio": "retry-budget-ratio",
        "repeat_slack": "retry-budget-slack",
        "ttl_max_s": "ttl_max_s",  # The file spells this field with underscores.
        "max_shift": "max-shift",
        "quota_window_s": "quota-window-s",
        "quota_overshoot": "quota-overshoot",
        "quota_slack": "quota-slack",
        "strict_revocation": "strict-revocation",
        "revocation_ms": "revocation-ms",
    },
):
    """Limits that the operator sets."""

    grace_s: float = 6.0
    """Maximum duration of a planned stop of an entry, in seconds."""
    drain_ms: float = 2_500.0
    """Maximum time until entries stop sending requests to a leaving target, in ms."""
    repeat_ratio: float = 0.2
    """Maximum retries of all entries together, as a fraction of requests."""
    repeat_slack: float = 64.0
    """Number of retries that all entries together may make beyond `repeat_ratio`."""
    ttl_max_s: float = 5.0
    """Maximum time for which a client may cache a look-up, in seconds."""
    max_shift: float = 0.15
    """Maximum fraction of a region's requests that may move to other regions in 2 s."""
    quota_window_s: float = 5.0
    """Window over which the use of a quota is counted, in seconds."""
    quota_overshoot: float = 0.1
    """Permitted excess over a quota, as a fraction of the quota."""
    quota_slack: float = 20.0
    """Permitted excess beyond `quota_overshoot`, in requests."""
    strict_revocation: bool = False
    """Reject all workspace keys if the store has not responded for `revocation_ms`,
    because a key may have been revoked in the meantime."""
    revocation_ms: float = 5_000.0
    """Maximum age of the store's last response in strict revocation, in ms."""

    def quota_bounds(self) -> QuotaBounds:
        """Return the permitted excess over quotas."""
        return QuotaBounds(self.quota_window_s, self.quota_overshoot, self.quota_slack)

    def confirm_within_s(self) -> float:
        """Return the age of the store's last response after which keys are rejected.

        Returns: the age in seconds; 0 if keys are accepted at any age.
        """
        return self.revocation_ms / 1000 if self.strict_revocation else 0.0


class _VmResources(_KebabStruct):
    """Resources of the VM."""

    link_bandwidth_mbps: float = 0.0
    """Bandwidth of the VM's link in Mbit/s; 0 if unknown."""
    file_descriptors: int = 0
    """Number of file descriptors that a process may open; 0 if unknown."""
    memory_mb: int = 0
    """Memory in MiB at which a process is killed; 0 if unknown."""


class _Store(msgspec.Struct):
    """Address and rate limits of the metadata store."""

    address: str
    writes_per_s: float = 400.0
    """Write calls per second that the store accepts from all entries together."""
    reads_per_s: float = 2_000.0
    """Read calls per second that the store accepts from all entries together."""


class PlatformSettings(_KebabStruct):
    """The settings file of one entry."""

    node_name: str
    ip_address: str
    zone: str
    """The VM's failure domain."""
    region: str
    zones: dict[str, str]
    """Region by failure domain, for all failure domains."""
    listen_addresses: _Listen
    internal_port_range: list[int]
    """First and last port reserved for traffic between entries."""
    platform: _Store
    """The metadata store, the only service of the platform that an entry calls."""
    bootstrap: bool = False
    """Whether this is the first start of the deployment."""
    limits: _VmResources = msgspec.field(default_factory=_VmResources)
    bounds: _OperatorLimits = msgspec.field(default_factory=_OperatorLimits)
    contracts: list[str] = []
    """Names of the parts of the platform's rules that are in force."""

    def entry(self) -> EntrySettings:
        """Convert the file's fields to entry settings."""
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
            gossip=Address(self.ip_address, first + HEARTBEAT_PORT_OFFSET),
            pull=Address(self.ip_address, first + STATE_TRANSFER_PORT_OFFSET),
            metrics=Address(self.ip_address, METRICS_PORT),
            lookup_ttl_s=min(LOOKUP_TTL_S, self.bounds.ttl_max_s),
            grace_s=self.bounds.grace_s,
            leave_s=self.bounds.drain_ms / 1000,
            repeat_ratio=self.bounds.repeat_ratio,
            repeat_slack=self.bounds.repeat_slack,
            max_shift=self.bounds.max_shift,
            store_writes_per_s=self.platform.writes_per_s,
            store_reads_per_s=self.platform.reads_per_s,
            quotas=self.bounds.quota_bounds(),
            confirm_within_s=self.bounds.confirm_within_s(),
            waits_for_room=PRESSURE_CONTRACT in self.contracts,
            first_start=self.bootstrap,
            link_mbps=round(self.limits.link_bandwidth_mbps),
            descriptors=self.limits.file_descriptors,
            memory_mb=self.limits.memory_mb,
        )


def parse_settings(data: bytes) -> PlatformSettings:
    """Parse a settings file.

    Raises:
      SettingsError: a field is missing or invalid; the message names it.
    """
    try:
        return decode_json(data, PlatformSettings)
    except msgspec.MsgspecError as e:
        raise SettingsError(str(e)) from None
