# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`python -m leverdoor.platform`: runs an entry on the platform."""

import sys

from leverdoor.entry.certificates import read_no_certificates
from leverdoor.signals import SighupRecorder


def main() -> int:
    """Take signals over before anything large is imported, then run.

    Returns: the exit status.
    """
    early = SighupRecorder()
    read_no_certificates()
    from leverdoor.platform.program import run_entry

    return run_entry(early)


if __name__ == "__main__":
    sys.exit(main())
