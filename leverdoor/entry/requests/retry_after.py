# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Retry-After times in ms for refusals of the request path.

Refusals by placement (`entry/placement/`) and by quotas (`workspaces/quota.py`) set
their own times. The default is `errors.py:DEFAULT_RETRY_MS`. Owns no state.
"""

__all__ = [
    "NOT_RUN_RETRY_MS",
    "NO_CONFIGURATION_RETRY_MS",
    "KEY_UNCONFIRMED_RETRY_MS",
    "format_retry_after",
]

NO_CONFIGURATION_RETRY_MS = 500
"""Retry-After time if the entry has no configuration yet.

A starting entry receives the state from a peer within this time. With a greater value,
clients wait although the entry is ready. With a smaller one, they use up their retries
before the entry is ready.
"""
KEY_UNCONFIRMED_RETRY_MS = 500
"""Retry-After time if the workspace key cannot be confirmed.

Gives the client time to look up another entry. With a greater value, clients of a
partitioned entry wait unnecessarily. With a smaller one, they retry at the same entry.
"""
NOT_RUN_RETRY_MS = 250
"""Retry-After time if the last attempt did not reach its target or the target did not
run the request.

A round of heartbeats (0.2 s) delivers newer loads. With a greater value, look-ups miss
their latency target. With a smaller one, the loads are not updated before the retry.
"""
RETRY_AFTER_STATUSES = frozenset({429, 503})
"""HTTP statuses of responses with a Retry-After header."""


def format_retry_after(status: int, retry_after_ms: int) -> str | None:
    """Return the value of the Retry-After header in seconds; None to omit it.

    Args:
      status: the HTTP status of the refusal.
      retry_after_ms: time after which to retry, in ms; 0 to omit the header.
    """
    if not retry_after_ms or status not in RETRY_AFTER_STATUSES:
        return None
    return f"{retry_after_ms / 1000:.3f}"
