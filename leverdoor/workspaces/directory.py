# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which workspace a request belongs to, by the key that it carries.

Owns an index of one configuration's workspaces; each configuration has its own. Relies
on the configuration holding digests of keys, never the keys (keys.py).
"""

from collections.abc import Iterable

from leverdoor.errors import Code, Refusal
from leverdoor.model.resources import Workspace
from leverdoor.workspaces.keys import key_digest

__all__ = ["WorkspaceDirectory"]


class WorkspaceDirectory:
    """The workspaces of one configuration, found by their keys."""

    def __init__(self, workspaces: Iterable[Workspace] = ()) -> None:
        """Index workspaces by their names and the digests of their keys."""
        self.by_name = {w.name: w for w in workspaces}
        self._by_digest = {d: w for w in self.by_name.values() for d in w.key_digests}

    def identify(self, key: str, *, anonymous: bool) -> Workspace | None:
        """Return whose a request is.

        Args:
          key: what the client sent; "" for none.
          anonymous: whether the route serves requests without a key.
        Returns: the workspace; None where there are none, and for a request of
          nobody on an anonymous route.
        Raises:
          Refusal: a key is needed, and none or an unknown one was sent. The text
            never holds the key.
        """
        if not self.by_name:
            return None
        workspace = self._by_digest.get(key_digest(key)) if key else None
        if workspace is not None or anonymous:
            return workspace
        if not key:
            raise Refusal(Code.WORKSPACE_KEY_MISSING)
        raise Refusal(Code.WORKSPACE_KEY_UNKNOWN)
