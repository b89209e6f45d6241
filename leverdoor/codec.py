# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Serialization: JSON for operators and the platform, MessagePack between processes.

Messages and resources are encoded and decoded here; the doc string of a type says
whether it is sent. Owns no state.
"""

from typing import Any, TypeVar

import msgspec

from leverdoor.errors import Code, ConfigError

__all__ = ["pack", "parse_json", "serialize_json", "unpack"]

T = TypeVar("T")


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
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as e:
        raise ConfigError(
            Code.UNKNOWN_FIELD, str(e), field=_field_in_message(str(e))
        ) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as e:
        raise ConfigError(Code.MALFORMED, str(e)) from None


def serialize_json(value: Any) -> bytes:
    """Serialize a typed value as JSON."""
    return msgspec.json.encode(value)


def pack(value: Any) -> bytes:
    """Serialize a message for another process, as MessagePack."""
    return msgspec.msgpack.encode(value)


def unpack(data: bytes, kind: type[T]) -> T:
    """Parse a MessagePack message from another process.

    Args:
      data: the bytes of one message.
      kind: the type to decode into.
    Returns: the decoded message.
    Raises:
      msgspec.DecodeError: the data is not a message of this type.
    """
    return msgspec.msgpack.decode(data, type=kind)


def _field_in_message(message: str) -> str:
    """Return the field named in a msgspec validation message, or an empty string."""
    if "unknown field" in message or "missing required field" in message:
        return message.split("`")[1]
    if "`$" in message:
        return message.split("`$")[1].split("`")[0].lstrip(".")
    return ""
