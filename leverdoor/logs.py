# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Logs as JSON lines on standard error, or where a daemon writes its events.

Lines of agents, gates, the command line and libraries; an entry's events are written
by `entry.events`. Owns the process's log handlers, set up once.
"""

import logging
import sys
from collections.abc import Callable
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


def setup_logs(
    role: str,
    vm: str,
    level: str = "INFO",
    write: Callable[[bytes], None] | None = None,
) -> None:
    """Send all logs to one place, one JSON object a line.

    Args:
      role: which daemon this is.
      vm: the VM it runs on.
      level: lowest level written.
      write: takes each line; standard error by default.
    """
    logger.remove()
    logger.configure(extra={"role": role, "vm": vm})
    taken = write or _write_error
    logger.add(lambda m: taken(_line(m)), level=level, format="{message}")
    logging.basicConfig(handlers=[_FromLibraries()], level=logging.WARNING, force=True)


class _FromLibraries(logging.Handler):
    """Takes what libraries log, so that it comes as the rest does."""

    def emit(self, record: logging.LogRecord) -> None:
        """Pass one record on."""
        error = record.exc_info[1] if record.exc_info else None
        logger.opt(exception=error).log(record.levelname, record.getMessage())


def _write_error(line: bytes) -> None:
    sys.stderr.write(line.decode())


def _line(message: "Message") -> bytes:
    record = message.record
    line = _Line(
        time=record["time"].isoformat(),
        level=record["level"].name,
        message=record["message"],
        module=record["name"] or "",
        fields={k: str(v) for k, v in record["extra"].items()},
        error=repr(record["exception"].value) if record["exception"] else "",
    )
    return msgspec.json.encode(line) + b"\n"
