# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`python -m leverdoor.platform`: runs an entry on the platform."""

import os
import sys
from pathlib import Path

from leverdoor.daemon import run_daemon
from leverdoor.entry.daemon import Entry
from leverdoor.entry.events import Events, LineWriter
from leverdoor.errors import SettingsError, code_info
from leverdoor.logs import setup_logs
from leverdoor.platform.names import dialect
from leverdoor.platform.settings import parse_settings
from leverdoor.platform.store import PlatformStore

SETTINGS = "LEVERDOOR_SETTINGS"


def main() -> int:
    """Run until stopped.

    Returns: the exit status.
    """
    try:
        settings = parse_settings(Path(os.environ[SETTINGS]).read_bytes())
        entry = settings.entry()
    except (KeyError, OSError, SettingsError) as e:
        sys.stderr.write(f"settings: {e!r}\n")
        code = SettingsError("").code
        return code_info(code).exit_status
    setup_logs("entry", entry.name)
    events = Events(LineWriter(sys.stdout.fileno()), entry.name)
    store = PlatformStore(settings.platform.address)
    run_daemon(Entry(entry, store, dialect(entry.domains), events))
    return 0


if __name__ == "__main__":
    sys.exit(main())
