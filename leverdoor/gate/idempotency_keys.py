# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Issues idempotency keys and keeps the outcomes of their requests.

A key is valid only at the process that issued it. That process alone records whether
the request ran, so no wall clock, store or transfer of state is needed. After the
process has ended, the request can never run again, and whether it ran is unknown.

Owns the signing secret and the outcomes; both are lost when the process ends.
"""

import base64
import hashlib
import hmac
from collections import OrderedDict
from enum import Enum

import msgspec

from leverdoor.codec import unpack
from leverdoor.errors import Code, Refusal

__all__ = ["Key", "KeyRegistry", "KeyState", "Outcome", "parse_key", "serialize_key"]

KEY_TTL_S = 900.0
"""Lifetime of a key, in seconds; docs/API.md promises 15 minutes."""
MAX_KEPT_BODY_BYTES = 64 * 1024
"""Maximum length of a response body kept for retries, in bytes; see docs/ERRORS.md."""
MAX_KEPT_TOTAL_BYTES = 32 * 1024 * 1024
"""Maximum total length of the kept response bodies, in bytes."""
MAC_BYTES = 12
"""Length of a key's MAC, in bytes; a guess succeeds with probability 2**-96."""


class Key(msgspec.Struct, frozen=True, array_like=True):
    """Decoded idempotency key; `issued_ms` is relative to the issuer's start."""

    vm: str
    relay: str
    incarnation: int
    issued_ms: int
    nonce: bytes
    mac: bytes = b""


class Outcome(msgspec.Struct, frozen=True):
    """Result of a request; `code` is OK unless its response was lost or not kept."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    code: Code = Code.OK


class KeyState(Enum):
    """Execution state of the request of a key."""

    NEW = "new"
    RUNNING = "running"
    DONE = "done"


class _Record(msgspec.Struct):
    key: Key
    outcome: Outcome | None = None


def serialize_key(key: Key) -> str:
    """Serialize a key to the header value that callers send."""
    return base64.urlsafe_b64encode(msgspec.msgpack.encode(key)).decode().rstrip("=")


def parse_key(text: str) -> Key:
    """Parse the header value that a caller sent.

    Raises:
      Refusal: KEY_INVALID.
    """
    try:
        raw = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        return unpack(raw, Key)
    except (ValueError, msgspec.MsgspecError):
        raise Refusal(Code.KEY_INVALID) from None


class KeyRegistry:
    """Issues keys and stores outcomes for one gate process."""

    def __init__(
        self, vm: str, relay: str, incarnation: int, secret: bytes, started: float
    ) -> None:
        """Create a registry without outcomes.

        Args:
          vm: this VM.
          relay: address at which other gates reach this process.
          incarnation: distinguishes it from earlier processes at that address.
          secret: random bytes that never leave the process.
          started: monotonic start time, in seconds.
        """
        self._vm = vm
        self._relay = relay
        self.incarnation = incarnation
        self._secret = secret
        self._started = started
        self._records: OrderedDict[bytes, _Record] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        """Return the number of keys with a stored state."""
        return len(self._records)

    def issue(self, nonce: bytes, now: float) -> str:
        """Issue a key.

        Args:
          nonce: fresh random bytes.
          now: monotonic time in seconds.
        """
        issued_ms = int((now - self._started) * 1000)
        key = Key(self._vm, self._relay, self.incarnation, issued_ms, nonce)
        return serialize_key(msgspec.structs.replace(key, mac=self._mac(key)))

    def issued_here(self, key: Key) -> bool:
        """Return whether this process issued a key."""
        return (key.vm, key.relay, key.incarnation) == (
            self._vm,
            self._relay,
            self.incarnation,
        )

    def issued_by_predecessor(self, key: Key) -> bool:
        """Return whether an earlier process at this address issued a key."""
        same = (key.vm, key.relay) == (self._vm, self._relay)
        return same and key.incarnation < self.incarnation

    def begin(self, key: Key, now: float) -> KeyState:
        """Record the start of the request of a key unless it has started before.

        Returns: NEW if the request must be run now, else RUNNING or DONE.
        Raises:
          Refusal: KEY_INVALID or KEY_EXPIRED.
        """
        if not hmac.compare_digest(self._mac(key), key.mac):
            raise Refusal(Code.KEY_INVALID)
        self._purge(now)
        if self._age_s(key, now) > KEY_TTL_S:
            raise Refusal(Code.KEY_EXPIRED)
        record = self._records.get(key.nonce)
        if record is None:
            self._records[key.nonce] = _Record(key)
            return KeyState.NEW
        return KeyState.RUNNING if record.outcome is None else KeyState.DONE

    def discard_not_run(self, key: Key) -> None:
        """Discard the state of a key whose request is known not to have run."""
        self._records.pop(key.nonce, None)

    def finish(self, key: Key, outcome: Outcome) -> None:
        """Store the outcome of a key.

        An outcome whose body exceeds a limit is stored as ALREADY_RAN, without headers
        and body.
        """
        record = self._records.get(key.nonce)
        if record is None:
            return
        size = len(outcome.body)
        if size > MAX_KEPT_BODY_BYTES or self._bytes + size > MAX_KEPT_TOTAL_BYTES:
            outcome = Outcome(outcome.status, [], b"", Code.ALREADY_RAN)
        self._bytes += len(outcome.body)
        record.outcome = outcome

    def outcome(self, key: Key) -> Outcome | None:
        """Return the outcome of a key; None if it is unknown or still running."""
        record = self._records.get(key.nonce)
        return record.outcome if record else None

    def _mac(self, key: Key) -> bytes:
        text = f"{key.vm}|{key.relay}|{key.incarnation}|{key.issued_ms}|".encode()
        return hashlib.blake2b(
            text + key.nonce, key=self._secret, digest_size=MAC_BYTES
        ).digest()

    def _age_s(self, key: Key, now: float) -> float:
        return now - self._started - key.issued_ms / 1000

    def _purge(self, now: float) -> None:
        """Remove expired keys, oldest first, up to the first that must be kept."""
        while self._records:
            nonce, record = next(iter(self._records.items()))
            if record.outcome is None or self._age_s(record.key, now) <= KEY_TTL_S:
                return
            self._bytes -= len(record.outcome.body)
            del self._records[nonce]
