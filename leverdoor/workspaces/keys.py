# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Computes the digests of workspace keys, so that the keys themselves are never stored.

Owns no state.
"""

from hashlib import sha256

__all__ = ["key_digest"]


def key_digest(key: str) -> str:
    """Return the hexadecimal SHA-256 digest of a key.

    Keys are long and random, so a single round without salt is sufficient. It costs
    less than a microsecond per request.
    """
    return sha256(key.encode()).hexdigest()
