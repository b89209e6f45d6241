# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""`python -m leverdoor.standins.soak.skewed`: an entry with a clock and ways to harm.

The file that `SOAK_CLOCK` names holds the seconds to add to its time of day, the one of
`SOAK_CUTS` which ways to other entries are cut; links to targets are cut by
`link_cuts`. The product is not changed: what it
calls for the time of day and for other entries is replaced before it starts.
"""

import os
import sys
import time
from pathlib import Path

CLOCK = "SOAK_CLOCK"
NS = 1_000_000_000
"""Nanoseconds of a second."""


def skew_clock(offset: Path) -> None:
    """Add the seconds in a file to the time of day from now on."""
    true_ns = time.time_ns

    def skewed_ns() -> int:
        return true_ns() + round(float(offset.read_text()) * NS)

    time.time_ns = skewed_ns
    time.time = lambda: skewed_ns() / NS


if __name__ == "__main__":
    skew_clock(Path(os.environ[CLOCK]))
    from leverdoor.entry import daemon
    from leverdoor.platform.__main__ import main
    from leverdoor.standins.link_cuts import install
    from leverdoor.standins.soak.harmed import HarmedNetwork

    vars(daemon)["SocketNetwork"] = HarmedNetwork
    install()

    sys.exit(main())
