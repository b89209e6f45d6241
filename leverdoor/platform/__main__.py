# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Runs an entry on the platform: `python -m leverdoor.platform`."""

import sys

from leverdoor.entry.certificates import disable_certificate_loading
from leverdoor.entry.unused_modules import block_unused_modules
from leverdoor.signals import SighupRecorder


def main() -> int:
    """Run an entry.

    The signal handler is installed before the large imports, so that a reload signal
    during start does not end the process. Certificate loading is disabled before them
    as well, because aiohttp loads all trusted certificates on import, and modules that
    an entry does not use are blocked.

    Returns: the exit status of the process.
    """
    early_reload = SighupRecorder()
    disable_certificate_loading()
    block_unused_modules()
    from leverdoor.platform.program import run_entry

    return run_entry(early_reload)


if __name__ == "__main__":
    sys.exit(main())
