# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Validated settings of an entry, and the rules for reloading them.

Owns no state. `leverdoor.platform.settings` reads and validates the platform's settings
file and creates the settings from it.
"""

import msgspec

from leverdoor.entry.membership.member import relay_address
from leverdoor.settings import Address
from leverdoor.workspaces.quota_bounds import QuotaBounds

__all__ = ["EntrySettings", "ReloadResult", "reload_settings"]

RELOADABLE = (
    "grace_s",
    "repeat_ratio",
    "watchers",
    "store_writes_per_s",
    "store_reads_per_s",
)
"""Settings that a reload applies; the others require a restart."""


class EntrySettings(msgspec.Struct, frozen=True):
    """Settings of one entry."""

    name: str
    region: str
    domain: str
    domains: dict[str, str]
    """Region of each failure domain of the deployment."""
    front: Address
    """Address on which the entry accepts client requests."""
    ready: Address
    """Address of the readiness endpoint for the platform."""
    directory: Address
    """Address at which clients look up entries."""
    gossip: Address
    """UDP address on which the entry receives heartbeats and digests."""
    pull: Address
    """Address at which other entries fetch the state."""
    metrics: Address
    """Address of the metrics endpoint."""
    lookup_ttl_s: float = 2.0
    """How long clients may cache a look-up, in seconds."""
    grace_s: float = 6.0
    """Maximum duration of a stop, in seconds."""
    leave_s: float = 2.5
    """Maximum time from a target's leave until no entry sends it requests, in s."""
    repeat_ratio: float = 0.2
    """Maximum retries of all entries together, as a share of requests."""
    repeat_slack: float = 64.0
    """Number of retries that all entries together may make beyond that share."""
    max_shift: float = 0.15
    """Maximum share of a region's requests that may move to another region in 2 s."""
    watchers: int = 2
    """Number of entries per region that follow the store."""
    link_mbps: int = 0
    """Bandwidth of the VM's link in Mbit/s; 0 if unknown."""
    descriptors: int = 0
    """Number of file descriptors that the process may open; 0 if unknown."""
    memory_mb: int = 0
    """Memory of the VM in MiB that the process may take; 0 if unknown."""
    store_writes_per_s: float = 400.0
    """Maximum rate of write calls of all entries together to the store, per second."""
    store_reads_per_s: float = 2_000.0
    """Maximum rate of read calls of all entries together to the store, per second."""
    quotas: QuotaBounds = QuotaBounds()
    """How far the use of a workspace may exceed its quota."""
    confirm_within_s: float = 0.0
    """Maximum age in s of the newest store answer at which workspace keys are accepted.

    The answer may be to any entry. Beyond this age, keys are refused because they may
    have been revoked. The value 0 disables the check.
    """
    waits_for_room: bool = False
    """Whether a request without room may wait at its entry for a short time."""
    first_start: bool = False
    """Whether no entry of the deployment ran before; then no quota use is unknown."""
    seed: int = 0
    """Seed of the random generator; 0 selects a random seed at each start."""

    @property
    def relay(self) -> Address:
        """Address at which other entries ask for streams to targets."""
        return relay_address(self.pull)


class ReloadResult(msgspec.Struct, frozen=True):
    """The result of reloading the settings file."""

    settings: EntrySettings
    changed: list[str]
    """Names of the changed fields that take effect immediately."""
    restart_required: list[str]
    """Names of the changed fields that require a restart, such as addresses."""


def reload_settings(before: EntrySettings, after: EntrySettings) -> ReloadResult:
    """Apply the changes that require no restart.

    Args:
      before: the settings in force.
      after: the settings that were just read.
    Returns: the new settings in force, and which changes were applied.
    """
    differing = [
        name
        for name in after.__struct_fields__
        if getattr(after, name) != getattr(before, name)
    ]
    changed = [name for name in differing if name in RELOADABLE]
    applied = {name: getattr(after, name) for name in changed}
    restart_required = [name for name in differing if name not in RELOADABLE]
    return ReloadResult(
        msgspec.structs.replace(before, **applied), changed, restart_required
    )
