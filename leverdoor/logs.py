# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Logging as JSON lines to standard error or to a function that writes lines.

Covers agents, gates, the command line and third-party libraries; the events of an entry
are written by `leverdoor.entry.events`. Owns the log handlers of the process, which
`setup_logs` replaces; each process calls it once.
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


class _LogLine(msgspec.Struct, omit_defaults=True):
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
    """Configure all logging to write one JSON object per line to one output.

    Args:
      role: role of the process, added to `fields` of each line.
      vm: name of its VM, added to `fields` of each line.
      level: lowest level that is written; for libraries at least WARNING.
      write: function that writes one encoded line; None for standard error.
    """
    logger.remove()
    logger.configure(extra={"role": role, "vm": vm})
    write_line = write or _write_to_stderr
    logger.add(
        lambda message: write_line(_encode_line(message)),
        level=level,
        format="{message}",
    )
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)


class _LibraryHandler(logging.Handler):
    """Forwards log records of libraries to loguru, so that they use the same format."""

    def emit(self, record: logging.LogRecord) -> None:
        """Forward one record."""
        error = record.exc_info[1] if record.exc_info else None
        logger.opt(exception=error).log(record.levelname, record.getMessage())


def _write_to_stderr(line: bytes) -> None:
    sys.stderr.write(line.decode())


def _encode_line(message: "Message") -> bytes:
    record = message.record
    line = _LogLine(
        time=record["time"].isoformat(),
        level=record["level"].name,
        message=record["message"],
        module=record["name"] or "",
        fields={k: str(v) for k, v in record["extra"].items()},
        error=repr(record["exception"].value) if record["exception"] else "",
    )
    return msgspec.json.encode(line) + b"\n"
