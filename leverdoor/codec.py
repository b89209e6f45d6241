# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Serialization: JSON for operators and the platform, MessagePack between processes.

Messages and resources are encoded and decoded here; the doc string of a type says
whether it is sent. What another program wrote is decoded by `decode_json` or `unpack`,
which raise one kind of error whatever the bytes are: the library raises others for deep
nesting, invalid UTF-8 and numbers out of range. Owns no state.
"""

import re
from typing import Any, TypeVar

import msgspec

from leverdoor.errors import Code, ConfigError

__all__ = [
    "UndecodableError",
    "decode_json",
    "decode_nested_json",
    "pack",
    "parse_json",
    "serialize_json",
    "unpack",
]

T = TypeVar("T")

MAX_DEPTH = 64
"""Depth to which values of JSON are read; documents of this project have up to five."""
BRACKETS = (b"[", b"]", b"{", b"}")
JSON_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{]|[\]}]|[^"\[\]{}]+|"', re.DOTALL)
"""A string, a bracket, or what stands between them."""


class UndecodableError(msgspec.DecodeError):
    """Bytes that the decoder could not process."""


def decode_json(data: bytes | str, kind: type[T], *, strict: bool = True) -> T:
    """Decode JSON that another program wrote.

    Args:
      data: the JSON document, of any content.
      kind: the type to decode into.
      strict: whether numbers in strings are rejected.
    Raises:
      msgspec.DecodeError: the data is not JSON of this type.
    """
    try:
        return msgspec.json.decode(data, type=kind, strict=strict)
    except msgspec.MsgspecError:
        raise
    except (RecursionError, ValueError, OverflowError) as e:
        raise UndecodableError(repr(e)) from None


def decode_nested_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON of any depth; values deeper than `MAX_DEPTH` count as null.

    A document may have unknown fields with values of any depth.

    Args:
      data: the JSON document, of any content.
      kind: the type to decode into.
    Raises:
      msgspec.DecodeError: the data is not JSON of this type.
    """
    try:
        return decode_json(data, kind)
    except UndecodableError:
        return decode_json(_without_deep_values(data), kind)


def _without_deep_values(data: bytes) -> bytes:
    """Replace values below `MAX_DEPTH` by null; the rest stays as it is."""
    kept: list[bytes] = []
    depth = 0
    for match in JSON_TOKEN.finditer(data):
        token = match[0]
        if token in (b"]", b"}"):
            depth -= 1
        if token in (b"[", b"{") and depth == MAX_DEPTH:
            kept.append(b"null")
        elif depth < MAX_DEPTH or (depth == MAX_DEPTH and token not in BRACKETS):
            kept.append(token)
        if token in (b"[", b"{"):
            depth += 1
    return b"".join(kept)


def parse_json(data: bytes | str, kind: type[T]) -> T:
    """Parse JSON into a typed value.

    Args:
      data: the JSON document.
      kind: the type to decode into.
    Returns: the decoded value.
    Raises:
      ConfigError: MALFORMED if the data is not JSON; UNKNOWN_FIELD if the JSON
        does not match the type, with the field where msgspec names it.
    """
    try:
        return decode_json(data, kind)
    except msgspec.ValidationError as e:
        raise ConfigError(
            Code.UNKNOWN_FIELD, str(e), field=_field_in_message(str(e))
        ) from None
    except msgspec.DecodeError as e:
        raise ConfigError(Code.MALFORMED, str(e)) from None


def serialize_json(value: Any) -> bytes:
    """Serialize a typed value as JSON."""
    return msgspec.json.encode(value)


def pack(value: Any) -> bytes:
    """Serialize a message for another process, as MessagePack."""
    return msgspec.msgpack.encode(value)


def unpack(data: bytes, kind: type[T]) -> T:
    """Decode a MessagePack message from another process.

    Args:
      data: the bytes of one message.
      kind: the type to decode into.
    Returns: the decoded message.
    Raises:
      msgspec.DecodeError: the data is not a message of this type.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError:
        raise
    except (RecursionError, ValueError, OverflowError) as e:
        raise UndecodableError(repr(e)) from None


def _field_in_message(message: str) -> str:
    """Return the field named in a msgspec validation message, or an empty string."""
    if "unknown field" in message or "missing required field" in message:
        return message.split("`")[1]
    if "`$" in message:
        return message.split("`$")[1].split("`")[0].lstrip(".")
    return ""
