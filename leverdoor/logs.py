# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Logs as JSON lines on standard error."""

import sys
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

__all__ = ["setup_logs"]


class _Line(msgspec.Struct, omit_defaults=True):
    time: str
    level: str
    message: str
    module: str
    fields: dict[str, str] = {}
    error: str = ""


def setup_logs(role: str, vm: str, level: str = "INFO") -> None:
    """Send all logs to standard error, one JSON object a line.

    Args:
      role: which daemon this is.
      vm: the VM it runs on.
      level: lowest level written.
    """
    logger.remove()
    logger.configure(extra={"role": role, "vm": vm})
    logger.add(_write, level=level, format="{message}")


def _write(message: "Message") -> None:
    record = message.record
    line = _Line(
        time=record["time"].isoformat(),
        level=record["level"].name,
        message=record["message"],
        module=record["name"] or "",
        fields={k: str(v) for k, v in record["extra"].items()},
        error=repr(record["exception"].value) if record["exception"] else "",
    )
    sys.stderr.write(msgspec.json.encode(line).decode() + "\n")
