# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Records SIGHUP signals received before a daemon's event loop handles them.

Until the recorder is installed, the default action of SIGHUP ends the process, so this
module imports nothing that is slow to load, and an entry installs the recorder before
its other large imports. Owns the SIGHUP handler of the process until the
event loop replaces it.
"""

import signal
from types import FrameType

__all__ = ["SighupRecorder"]


class SighupRecorder:
    """Records SIGHUP from the start of the process until its event loop handles it."""

    def __init__(self) -> None:
        """Install the signal handler."""
        self.received = False
        """Whether a SIGHUP was received."""
        signal.signal(signal.SIGHUP, self._record)

    def _record(self, _signum: int, _frame: FrameType | None) -> None:
        self.received = True
