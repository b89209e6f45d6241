# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which faults a soak plays and when: drawn from a seed alone.

Owns no state. A kept seed must go on giving the same plan: order and number of the
draws, the bounds of times and the order of the kinds are part of it.
"""

from collections.abc import Awaitable, Callable
from enum import StrEnum
from random import Random
from typing import TypeAlias

import msgspec

__all__ = ["FaultAction", "FaultKind", "PlannedFault", "draw_plan"]


class FaultKind(StrEnum):
    """Every kind of fault that a soak plays."""

    KILL = "kill"
    STOP = "stop"
    """A planned stop, and a new start."""
    PAUSE = "pause"
    RELOAD = "reload"
    CLOCK = "clock"
    """The time of day of an entry is set, seen from its next start on as well."""
    KILL_ALL = "kill-all"
    STORE_SILENT = "store-silent"
    STORE_BUSY = "store-busy"
    STORE_RESET = "store-reset"
    STORE_SLOW = "store-slow"
    STORE_LOSES_WRITES = "store-loses-writes"
    STORE_FORGETS = "store-forgets"
    STORE_LAPSE = "store-lapse"
    """The store is away, and all targets' registrations expire meanwhile."""
    LINK_STORE = "link-store"
    LINK_TARGET = "link-target"
    LINK_CLIENTS = "link-clients"
    TARGET_CRASH = "target-crash"
    TARGET_LEAVES = "target-leaves"
    TARGET_SLOW = "target-slow"
    TARGET_LOSES_ANSWERS = "target-loses-answers"
    TARGET_REPEATS_ANSWERS = "target-repeats-answers"
    TARGET_JOINS = "target-joins"
    ADDRESS_REUSED = "address-reused"
    CONFIGURE = "configure"
    EVACUATE = "evacuate"


SHORTEST_S = 0.2
"""Shortest fault, in seconds."""
LONGEST_S = 3.0
"""Longest fault, in seconds."""
REPEAT_CHANCE = 0.25
"""Chance that a fault of the kind just drawn comes again, soon after it."""
SOON_S = 0.7
"""Longest pause between two faults, in seconds, so that they overlap."""


class PlannedFault(msgspec.Struct, frozen=True):
    """One fault."""

    at_s: float
    """Seconds from the start of the soak."""
    kind: FaultKind
    for_s: float
    pick: float
    """From 0 to 1: which of the things that it can happen to."""
    variant: float
    """From 0 to 1: which variant of the kind."""


FaultAction: TypeAlias = Callable[[PlannedFault], Awaitable[None]]
"""Plays a fault from its beginning to its end."""


def draw_plan(seed: int, seconds: float, count: int) -> list[PlannedFault]:
    """Draw the faults of a soak; they come in series and overlap.

    Args:
      seed: the same seed gives the same plan.
      seconds: within which all of them begin.
      count: how many.
    Returns: the faults, the first one first.
    """
    rng = Random(seed)
    found: list[PlannedFault] = []
    while len(found) < count:
        repeats = bool(found) and rng.random() < REPEAT_CHANCE
        kind = found[-1].kind if repeats else rng.choice(list(FaultKind))
        soon_s = found[-1].at_s + rng.random() * SOON_S if repeats else 0.0
        found.append(
            PlannedFault(
                at_s=min(soon_s, seconds) if repeats else rng.random() * seconds,
                kind=kind,
                for_s=rng.uniform(SHORTEST_S, LONGEST_S),
                pick=rng.random(),
                variant=rng.random(),
            )
        )
    return sorted(found, key=lambda t: t.at_s)
