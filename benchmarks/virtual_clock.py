# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""An event loop whose clock jumps to what is due next, for code without real I/O.

State: the fake time, of one loop.
"""

import asyncio
import selectors
from typing import Any

__all__ = ["VirtualLoop", "run_virtual"]


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to what is due next."""

    def __init__(self) -> None:
        """Create it at time 0."""
        self.jumping = _JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        """Return the fake time in seconds."""
        return self.jumping.now


class _JumpingSelector(selectors.SelectSelector):
    """Takes no time to wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("nothing is due")
        self.now += max(timeout, 0.0)
        return []


def run_virtual(main: Any) -> Any:
    """Run a coroutine to its end on a fake clock."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
