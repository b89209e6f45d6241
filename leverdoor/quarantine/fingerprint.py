# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Identifies repetitions of a request by a hash of its content.

A request id identifies one attempt of a client, so a repeated request has a new one.
The fingerprint covers method, host, path, caller, body and length. It leaves out the
affinity key, since harmless requests share it and a client may change it.

Owns no state.
"""

from hashlib import blake2b

__all__ = ["FINGERPRINT_BYTES", "fingerprint_text", "request_fingerprint"]

FINGERPRINT_BYTES = 8
"""Size of a fingerprint in bytes.

The probability that two of 100,000 requests collide is 3e-10. The hash is cryptographic
because a caller who finds a collision could have another caller's request quarantined.
"""


def request_fingerprint(
    method: str,
    host: str,
    path: str,
    caller: str,
    body: bytes | memoryview,
    length: int,
) -> int:
    """Return the fingerprint of a request; 0 stands for no fingerprint elsewhere.

    Args:
      method: the HTTP method.
      host: the Host header.
      path: path and query as the client sent them.
      caller: the caller of the request; "" if it is unknown.
      body: the whole body if it is short, otherwise its beginning.
      length: length of the whole body in bytes; -1 if it is unknown.
    """
    fields = "\n".join((method, host.lower(), path, caller, str(length)))
    digest = blake2b(body, digest_size=FINGERPRINT_BYTES, key=_body_hash_key(fields))
    return int.from_bytes(digest.digest(), "big") or 1


def _body_hash_key(fields: str) -> bytes:
    """Return the key of the body's hash, which is a hash of the other fields.

    With the key, moving bytes between the fields and the body changes the fingerprint.
    """
    return blake2b(fields.encode("utf-8", "surrogateescape"), digest_size=32).digest()


def fingerprint_text(fingerprint: int) -> str:
    """Return a fingerprint as hexadecimal text; "" for 0, which is no fingerprint."""
    return f"{fingerprint:016x}" if fingerprint else ""
