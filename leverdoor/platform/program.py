# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Reads the settings file, connects an entry to the platform, and runs it.

Owns the log's writer; flushes it at the end of the process.
"""

import os
import sys
from pathlib import Path

from leverdoor.entry.daemon import Entry
from leverdoor.entry.events import Events
from leverdoor.entry.log_writer import LineWriter
from leverdoor.errors import SettingsError, code_info
from leverdoor.lifecycle import run_daemon
from leverdoor.logs import setup_logs
from leverdoor.platform.names import wire
from leverdoor.platform.settings import PlatformSettings, parse_settings
from leverdoor.platform.store import PlatformStore
from leverdoor.signals import SighupRecorder

__all__ = ["run_entry"]

SETTINGS = "LEVERDOOR_SETTINGS"
"""The environment variable that has the path of the settings file."""


def settings_path() -> Path:
    """Return where the settings file lies."""
    return Path(os.environ.get(SETTINGS, ""))


def read_settings() -> PlatformSettings:
    """Read the settings file.

    Raises:
      SettingsError: it is not there, or a field is missing or wrong.
    """
    path = settings_path()
    try:
        return parse_settings(path.read_bytes())
    except OSError as e:
        raise SettingsError(f"{SETTINGS}={path}: {e.strerror}") from None


def run_entry(early: SighupRecorder) -> int:
    """Run until stopped.

    Args:
      early: whether a reload came before the loop runs, and is still due.
    Returns: the exit status.
    """
    try:
        settings = read_settings()
        own = settings.entry()
    except SettingsError as e:
        sys.stderr.write(f"{e}\n")
        return code_info(e.code).exit_status
    writer = LineWriter(sys.stdout.fileno())
    setup_logs("entry", own.name, write=writer.write)
    events = Events(writer, own.name)
    store = PlatformStore(settings.platform.address)
    entry = Entry(own, store, wire(own.domains), events)

    def reload() -> None:
        try:
            entry.reload(read_settings().entry())
        except SettingsError as e:
            events.process("reload failed", error=str(e))

    run_daemon(entry, reload, early, settings_path())
    writer.flush()
    return 0
