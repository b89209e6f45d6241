# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""JSON towards people and the platform, MessagePack between processes.

The one place that encodes and decodes typed values; which types are sent stands
beside the types. Owns no state.
"""

from typing import Any, TypeVar

import msgspec

from leverdoor.errors import Code, ConfigError

__all__ = ["pack", "parse_json", "serialize_json", "unpack"]

T = TypeVar("T")


def parse_json(data: bytes | str, kind: type[T]) -> T:
    """Parse JSON into a typed value.

    Args:
      data: the document.
      kind: the type wanted.
    Returns: the value.
    Raises:
      ConfigError: MALFORMED or UNKNOWN_FIELD, naming the field.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as e:
        raise ConfigError(Code.UNKNOWN_FIELD, str(e), field=_field_of(str(e))) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as e:
        raise ConfigError(Code.MALFORMED, str(e)) from None


def serialize_json(value: Any) -> bytes:
    """Serialize a typed value as JSON."""
    return msgspec.json.encode(value)


def pack(value: Any) -> bytes:
    """Serialize a message between processes."""
    return msgspec.msgpack.encode(value)


def unpack(data: bytes, kind: type[T]) -> T:
    """Parse a message between processes.

    Args:
      data: the bytes of one message.
      kind: the type wanted.
    Returns: the message.
    Raises:
      msgspec.DecodeError: the bytes are not such a message.
    """
    return msgspec.msgpack.decode(data, type=kind)


def _field_of(text: str) -> str:
    """Find the field that a validation message names."""
    if "unknown field" in text or "missing required field" in text:
        return text.split("`")[1]
    if "`$" in text:
        return text.split("`$")[1].split("`")[0].lstrip(".")
    return ""
