# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Idempotency keys that one gate process issues, and the outcomes it keeps.

A key is good only at the process that issued it, so one memory decides
whether the request ran: no clock, store or hand-over is involved. When that
process is gone the key can never run again, and whether it ran is not known.

Owns the secret that signs keys and the outcomes; both are lost with the process.
"""

import base64
import hashlib
import hmac
from collections import OrderedDict
from enum import Enum

import msgspec

from leverdoor.errors import Code, Refusal

__all__ = ["Key", "KeyRegistry", "KeyState", "Outcome", "parse_key", "serialize_key"]

KEY_TTL_S = 900.0
"""How long a key can be used, in seconds; docs/API.md promises 15 minutes."""
MAX_KEPT_BODY_BYTES = 64 * 1024
"""Longest answer kept for a retry with its key, in bytes; docs/ERRORS.md says so."""
MAX_KEPT_TOTAL_BYTES = 32 * 1024 * 1024
"""Most bytes of all kept answers."""
MAC_BYTES = 12
"""Bytes of a key's check; a guess succeeds once in 2**96."""


class Key(msgspec.Struct, frozen=True, array_like=True):
    """What an issued key says."""

    vm: str
    relay: str
    incarnation: int
    issued_ms: int
    nonce: bytes
    mac: bytes = b""


class Outcome(msgspec.Struct, frozen=True):
    """What became of a request: an answer, or a problem without one."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    code: Code = Code.OK


class KeyState(Enum):
    """Whether the request of a key has run."""

    NEW = "new"
    RUNNING = "running"
    DONE = "done"


class _Record(msgspec.Struct):
    key: Key
    outcome: Outcome | None = None


def serialize_key(key: Key) -> str:
    """Serialize a key as callers send it."""
    return base64.urlsafe_b64encode(msgspec.msgpack.encode(key)).decode().rstrip("=")


def parse_key(text: str) -> Key:
    """Parse a key that a caller sent.

    Raises:
      Refusal: KEY_INVALID.
    """
    try:
        raw = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        return msgspec.msgpack.decode(raw, type=Key)
    except (ValueError, msgspec.MsgspecError):
        raise Refusal(Code.KEY_INVALID) from None


class KeyRegistry:
    """Issues keys and keeps outcomes for one gate process."""

    def __init__(
        self, vm: str, relay: str, incarnation: int, secret: bytes, started: float
    ) -> None:
        """Create an empty ring.

        Args:
          vm: this VM.
          relay: address at which other gates reach this process.
          incarnation: distinguishes it from earlier processes there.
          secret: random bytes that never leave the process.
          started: monotonic time in seconds.
        """
        self._vm = vm
        self._relay = relay
        self.incarnation = incarnation
        self._secret = secret
        self._started = started
        self._records: OrderedDict[bytes, _Record] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        """Count the keys that were used and are still kept."""
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
        """Return whether an earlier process at this one's address issued a key."""
        same = (key.vm, key.relay) == (self._vm, self._relay)
        return same and key.incarnation < self.incarnation

    def begin(self, key: Key, now: float) -> KeyState:
        """Begin the run of a key, if it may run.

        Returns: NEW if it may run, now and only now; else its state.
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

    def forget_unrun(self, key: Key) -> None:
        """Make a key new again, since it is certain that nothing ran."""
        self._records.pop(key.nonce, None)

    def finish(self, key: Key, outcome: Outcome) -> None:
        """Keep the outcome of a key; a large body is not kept."""
        record = self._records.get(key.nonce)
        if record is None:
            return
        size = len(outcome.body)
        if size > MAX_KEPT_BODY_BYTES or self._bytes + size > MAX_KEPT_TOTAL_BYTES:
            outcome = Outcome(outcome.status, [], b"", Code.ALREADY_RAN)
        self._bytes += len(outcome.body)
        record.outcome = outcome

    def outcome(self, key: Key) -> Outcome | None:
        """Return the outcome of a key, None while it runs."""
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
        """Forget keys that are refused as expired anyway, oldest first."""
        while self._records:
            nonce, record = next(iter(self._records.items()))
            if record.outcome is None or self._age_s(record.key, now) <= KEY_TTL_S:
                return
            self._bytes -= len(record.outcome.body)
            del self._records[nonce]
