# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The workspaces of a soak, and what holds of their requests.

Owns no state; relies on the product's own bound of a window for each quota.
"""

import msgspec

from leverdoor.model.resources import Workspace
from leverdoor.workspaces.quota_bounds import QuotaBounds

__all__ = ["FREE", "WORKSPACES", "SoakWorkspace", "workspace_named"]


class SoakWorkspace(msgspec.Struct, frozen=True):
    """A workspace as callers and the operator know it."""

    name: str
    key: str
    part: float
    """Of all requests of the callers."""
    rate_per_s: float = 0.0
    """And as much again at once; 0 for no quota."""
    homes: list[str] = []

    def tenant(self) -> dict[str, object]:
        """Return it as the operator writes it."""
        return {
            "name": self.name,
            "api-keys": [self.key],
            "rate-per-s": self.rate_per_s,
            "burst": self.rate_per_s,
            "home-regions": self.homes,
        }

    def bound(self) -> float:
        """Return the requests of a window that must never be passed; 0 for none."""
        if not self.rate_per_s:
            return 0.0
        workspace = Workspace(
            name=self.name, rate_per_s=self.rate_per_s, burst=self.rate_per_s
        )
        return QuotaBounds().bound(workspace)


FREE = SoakWorkspace("free", "key-of-free", 0.7)
WORKSPACES = [
    FREE,
    SoakWorkspace("small", "key-of-small", 0.2, rate_per_s=10.0),
    SoakWorkspace("homed", "key-of-homed", 0.1, homes=["a"]),
]
"""Callers send the second some three times its quota."""


def workspace_named(name: str) -> SoakWorkspace | None:
    """Return a workspace of the soak by its name."""
    return next((w for w in WORKSPACES if w.name == name), None)
