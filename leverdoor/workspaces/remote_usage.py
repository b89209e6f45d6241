# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The usage of quotas by the other entries, as received in digests.

An entry is silent if its reports are overdue (`entry/exchange/usage_merging.py`).

Owns no state. Relies on the exchange of digests, which creates the values.
"""

from collections.abc import Mapping

import msgspec

__all__ = ["NO_REMOTE_USAGE", "RemoteUsage"]


class RemoteUsage(msgspec.Struct, frozen=True):
    """The known usage of quotas by all other entries."""

    requests_by_workspace: Mapping[str, int]
    """Requests in the window by workspace."""
    age_s: float
    """Age of the oldest included report, in seconds."""
    usage_known_for_s: float
    """How long the usage of every entry has been known, in seconds."""
    min_reported_share: float
    """Share of a quota below which the usage of a workspace may be omitted."""
    silent_count: int = 0
    """Number of silent entries. In addition to the reservations that
    `requests_by_workspace` contains, `quota.py` reserves an equal share of
    `EVENLY_DIVIDED_FRACTION` of each quota for each of them."""


NO_REMOTE_USAGE = RemoteUsage({}, 0.0, 0.0, 0.0)
"""The value before the first digest is received."""
