# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How a request is known again when it is sent once more: by what targets get of it.

Each attempt of a client has an id of its own, so a request that comes again has a new
one. What stays is the method, the host, the path, whose it is and the body. The
affinity key is left out: harmless requests share it, and a client may change it.

Owns no state.
"""

from hashlib import blake2b

__all__ = ["FINGERPRINT_BYTES", "fingerprint_text", "request_fingerprint"]

FINGERPRINT_BYTES = 8
"""Bytes of a fingerprint.

Among 100,000 requests two share it with a chance of 3e-10. A cryptographic hash, since
a caller who could find another's fingerprint could have that request held back.
"""


def request_fingerprint(
    method: str, host: str, path: str, caller: str, body: bytes, length: int
) -> int:
    """Return the fingerprint of a request; 0 is none's.

    Args:
      method: of HTTP.
      host: the Host header.
      path: path and query, as the client sent them.
      caller: whose request it is, as far as that is known; "" else.
      body: all of a short body, the first part of a long one.
      length: of the whole body in bytes; -1 if it is not known.
    """
    head = "\n".join((method, host.lower(), path, caller, str(length)))
    digest = blake2b(body, digest_size=FINGERPRINT_BYTES, key=_key(head))
    return int.from_bytes(digest.digest(), "big") or 1


def _key(head: str) -> bytes:
    """Return the head as a key of the body's hash, which sets the two apart."""
    return blake2b(head.encode("utf-8", "surrogateescape"), digest_size=32).digest()


def fingerprint_text(fingerprint: int) -> str:
    """Return a fingerprint as logs and the store have it; "" for none."""
    return f"{fingerprint:016x}" if fingerprint else ""
