# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Signals that come before a daemon's loop can take them.

Imports nothing large: a process is open to the signal's default, which ends it,
until this has run.
"""

import signal
from types import FrameType

__all__ = ["SighupRecorder"]


class SighupRecorder:
    """Notes SIGHUPs from the start of a process until its loop takes them over."""

    def __init__(self) -> None:
        """Take the signal over."""
        self.received = False
        """Whether one came."""
        signal.signal(signal.SIGHUP, self._note)

    def _note(self, _number: int, _frame: FrameType | None) -> None:
        self.received = True
