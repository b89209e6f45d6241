# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What the other entries used of quotas, as the exchange of digests gives it."""

from collections.abc import Mapping

import msgspec

__all__ = ["NOTHING_KNOWN", "RemoteUsage"]


class RemoteUsage(msgspec.Struct, frozen=True):
    """What all other entries used of quotas, as far as it is known."""

    use: Mapping[str, int]
    """Requests in the window by workspace."""
    age_s: float
    """Age of the oldest report in it, in seconds."""
    covered_s: float
    """For how long nothing of it can be missing, in seconds."""
    least_reported: float
    """Part of a quota below which a use may be left out."""
    silent: int = 0
    """How many others are silent: for each an even part is reserved besides."""


NOTHING_KNOWN = RemoteUsage({}, 0.0, 0.0, 0.0)
"""The use of others before anything has arrived."""
