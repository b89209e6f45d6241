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
    during start does not end the process. Modules that an entry does not use are
    blocked before them as well. Should a library load TLS all the same, it loads no
    certificates.

    Returns: the exit status of the process.
    """
    early_reload = SighupRecorder()
    disable_certificate_loading()
    block_unused_modules()
    from leverdoor.platform.program import run_entry

    return run_entry(early_reload)


if __name__ == "__main__":
    sys.exit(main())
