# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Digests of keys, so that the keys themselves are kept nowhere."""

from hashlib import sha256

__all__ = ["key_digest"]


def key_digest(key: str) -> str:
    """Return the digest by which a key is known: SHA-256, in hexadecimal.

    Keys are drawn at random and long, so one round without salt does; it costs a
    request less than a microsecond.
    """
    return sha256(key.encode()).hexdigest()
