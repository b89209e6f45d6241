# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""When a client may come back after a refusal of the request path, in ms.

Refusals of placement (`entry/placement/`), of quotas (`workspaces/quota.py`) and those
without a rule of their own (`errors.py:DEFAULT_RETRY_MS`) bring their times with them.
"""

__all__ = [
    "NOT_RUN_MS",
    "NO_CONFIGURATION_MS",
    "UNCONFIRMED_MS",
    "retry_after_value",
]

NO_CONFIGURATION_MS = 500
"""After a request at an entry that has no configuration yet.

An entry that starts gets the state from a peer within that time. Greater, clients wait
though the entry is ready; smaller, they spend their retries on it.
"""
UNCONFIRMED_MS = 500
"""After a workspace key that can't be confirmed.

Time to look up another entry. Greater, a client of an entry that is cut off waits for
nothing; smaller, it comes back to the same entry.
"""
NOT_RUN_MS = 250
"""After the last attempt failed to connect, or its target did not run the request.

A round of heartbeats (0.2 s) brings newer loads. Greater, a look-up loses much of its
latency target; smaller, the entry knows no more than at the refusal.
"""
RETRY_AFTER_STATUSES = frozenset({429, 503})
"""HTTP statuses whose answers carry a Retry-After header."""


def retry_after_value(status: int, retry_after_ms: int) -> str | None:
    """Return the value of the Retry-After header, in seconds; None for no header.

    Args:
      status: the HTTP status of the refusal.
      retry_after_ms: when to come back, in ms; 0 for never.
    """
    if not retry_after_ms or status not in RETRY_AFTER_STATUSES:
        return None
    return f"{retry_after_ms / 1000:.3f}"
