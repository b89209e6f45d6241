# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Runs an entry on the platform: `python -m leverdoor.platform`."""

import sys

from leverdoor.entry.certificates import read_no_certificates
from leverdoor.signals import EarlyReload


def main() -> int:
    """Install the signal handler before large imports, then run the entry.

    Returns: the exit status of the process.
    """
    early = EarlyReload()
    read_no_certificates()
    from leverdoor.platform.program import run_entry

    return run_entry(early)


if __name__ == "__main__":
    sys.exit(main())
