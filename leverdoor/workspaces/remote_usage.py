# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The usage of quotas by the other entries, as received in digests.

Owns no state. Relies on the exchange of digests, which creates the values.
"""

from collections.abc import Mapping

import msgspec

__all__ = ["NO_REMOTE_USAGE", "RemoteUsage"]


class RemoteUsage(msgspec.Struct, frozen=True):
    """The known usage of quotas by all other entries."""

    use: Mapping[str, int]
    """Requests in the window by workspace."""
    age_s: float
    """Age of the oldest included report, in seconds."""
    complete_for_s: float
    """How long the reports have been complete, in seconds."""
    min_reported_share: float
    """Share of a quota below which the usage of a workspace may be omitted."""
    silent: int = 0
    """Number of silent entries, for each of which an even share is also reserved."""


NO_REMOTE_USAGE = RemoteUsage({}, 0.0, 0.0, 0.0)
"""The value before the first digest is received."""
