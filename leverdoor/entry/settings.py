# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Checked settings of an entry, and which of them may change while it runs.

Read from the platform's file by `leverdoor.platform.settings`. Owns no state.
"""

import msgspec

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
"""Settings that take effect at a reload; the others need a restart."""


class EntrySettings(msgspec.Struct, frozen=True):
    """Settings of one entry; times in seconds unless the name says otherwise."""

    name: str
    region: str
    domain: str
    domains: dict[str, str]
    """All failure domains of the deployment, each with its region."""
    front: Address
    """Where clients send requests."""
    ready: Address
    """Where the platform checks whether the entry is ready."""
    directory: Address
    """Where clients look up which entries to use."""
    gossip: Address
    """UDP address for heartbeats."""
    pull: Address
    """Where other entries fetch the state."""
    metrics: Address
    """Where metrics are scraped."""
    lookup_ttl_s: float = 2.0
    """How long clients may keep the answer to a look-up."""
    grace_s: float = 6.0
    """How long a stop may take."""
    leave_s: float = 2.5
    """Within which time a leaving target must get no new requests."""
    repeat_ratio: float = 0.2
    """Retries that all entries together may make, as a share of requests."""
    repeat_slack: float = 64.0
    """Retries that all entries together may make beyond that."""
    max_shift: float = 0.15
    """Largest share of a region's requests that may change region in 2 s."""
    watchers: int = 2
    """Entries of a region that follow the store."""
    link_mbps: int = 0
    """Bandwidth of the VM's link in Mbit/s; 0 if it is not known."""
    store_writes_per_s: float = 400.0
    """Writing calls that the store takes in a second, of all entries together."""
    store_reads_per_s: float = 2_000.0
    """The same for reading calls."""
    quotas: QuotaBounds = QuotaBounds()
    """How far the use of a workspace's quota may go beyond it."""
    confirm_within_s: float = 0.0
    """Age of the store's newest answer to any entry from which on workspace keys are
    refused, since they may have been revoked; 0 for never."""
    first_start: bool = False
    """No entry ran before, so that no use of quotas is unknown."""
    seed: int = 0
    """Of all chance; 0 for another one at each start."""


class ReloadResult(msgspec.Struct, frozen=True):
    """Settings after a change of their file."""

    settings: EntrySettings
    changed: list[str]
    """Fields that take effect now."""
    restart_required: list[str]
    """Fields that differ and need a restart: addresses and places."""


def reload_settings(before: EntrySettings, after: EntrySettings) -> ReloadResult:
    """Return the settings with those of the changes that need no restart."""
    differ = [
        name
        for name in after.__struct_fields__
        if getattr(after, name) != getattr(before, name)
    ]
    changed = [name for name in differ if name in RELOADABLE]
    taken = {name: getattr(after, name) for name in changed}
    left = [name for name in differ if name not in RELOADABLE]
    return ReloadResult(msgspec.structs.replace(before, **taken), changed, left)
