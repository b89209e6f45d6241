# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Reads the settings file and runs an entry that uses the platform's store.

Owns the log writer, which it flushes before the process ends; lines that are still
buffered at a crash are lost.
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
from leverdoor.platform.settings import PlatformSettings, parse_settings
from leverdoor.platform.store import PlatformStore
from leverdoor.platform.wire_format import wire
from leverdoor.signals import SighupRecorder

__all__ = ["run_entry"]

SETTINGS_VARIABLE = "LEVERDOOR_SETTINGS"
"""Environment variable with the path of the settings file."""


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(SETTINGS_VARIABLE, ""))


def read_settings() -> PlatformSettings:
    """Read the settings file.

    Raises:
      SettingsError: the file cannot be read, or a field is missing or invalid.
    """
    path = settings_path()
    try:
        return parse_settings(path.read_bytes())
    except OSError as e:
        raise SettingsError(f"{SETTINGS_VARIABLE}={path}: {e.strerror}") from None


def run_entry(early_reload: SighupRecorder) -> int:
    """Run an entry until it is stopped.

    Args:
      early_reload: records a reload signal that arrives before the event loop runs.
    Returns: the exit status of the process.
    """
    try:
        settings = read_settings()
        entry_settings = settings.entry()
    except SettingsError as e:
        sys.stderr.write(f"{e}\n")
        return code_info(e.code).exit_status
    writer = LineWriter(sys.stdout.fileno())
    setup_logs("entry", entry_settings.name, write=writer.write)
    events = Events(writer, entry_settings.name)
    store = PlatformStore(settings.platform.address)
    entry = Entry(entry_settings, store, wire(entry_settings.domains), events)

    def reload() -> None:
        try:
            entry.reload(read_settings().entry())
        except SettingsError as e:
            events.process("reload failed", error=str(e))

    run_daemon(entry, reload, early_reload, settings_path())
    writer.flush()
    return 0
