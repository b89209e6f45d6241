# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Looks up the workspace of a request by its workspace key.

Owns an index of the workspaces of one configuration; each new configuration gets a new
index. Relies on the configuration holding digests instead of keys (`keys.py`).
"""

from collections.abc import Iterable

from leverdoor.errors import Code, Refusal
from leverdoor.model.resources import Workspace
from leverdoor.workspaces.keys import key_digest

__all__ = ["WorkspaceDirectory"]


class WorkspaceDirectory:
    """The workspaces of one configuration, indexed by key digest."""

    def __init__(self, workspaces: Iterable[Workspace] = ()) -> None:
        """Index workspaces by their names and the digests of their keys."""
        self.by_name = {w.name: w for w in workspaces}
        self._by_digest = {d: w for w in self.by_name.values() for d in w.key_digests}

    def identify(self, key: str, *, anonymous: bool) -> Workspace | None:
        """Return the workspace of a request.

        Args:
          key: the workspace key of the request; "" if absent.
          anonymous: whether the route serves requests without a valid key.
        Returns: the workspace; None if no workspaces are configured, or if the key
          is missing or unknown on an anonymous route.
        Raises:
          Refusal: the route requires a key, and it is missing or unknown. The detail
            never contains the key.
        """
        if not self.by_name:
            return None
        workspace = self._by_digest.get(key_digest(key)) if key else None
        if workspace is not None or anonymous:
            return workspace
        if not key:
            raise Refusal(Code.WORKSPACE_KEY_MISSING)
        raise Refusal(Code.WORKSPACE_KEY_UNKNOWN)
