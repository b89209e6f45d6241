# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What strikes when in a soak: drawn from a seed alone."""

from enum import StrEnum
from random import Random

import msgspec

__all__ = ["Trouble", "TroubleKind", "draw_plan"]


class TroubleKind(StrEnum):
    """Every kind of trouble that a soak knows."""

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
    """The store is away, and all targets' entries go meanwhile."""
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
"""Shortest trouble, in seconds."""
LONGEST_S = 3.0
"""Longest trouble, in seconds."""
REPEAT_CHANCE = 0.25
"""Chance that a trouble of the kind just drawn comes again, soon after it."""
SOON_S = 0.7
"""Longest pause between two troubles, in seconds, so that they overlap."""


class Trouble(msgspec.Struct, frozen=True):
    """One trouble."""

    at_s: float
    """Seconds from the start of the soak."""
    kind: TroubleKind
    for_s: float
    pick: float
    """From 0 to 1: which of the things that it can strike."""
    variant: float
    """From 0 to 1: which variant of the kind."""


def draw_plan(seed: int, seconds: float, count: int) -> list[Trouble]:
    """Draw the troubles of a soak; they come in series and overlap.

    Args:
      seed: the same seed gives the same plan.
      seconds: within which all of them begin.
      count: how many.
    Returns: the troubles, the first one first.
    """
    rng = Random(seed)
    found: list[Trouble] = []
    while len(found) < count:
        repeats = bool(found) and rng.random() < REPEAT_CHANCE
        kind = found[-1].kind if repeats else rng.choice(list(TroubleKind))
        soon_s = found[-1].at_s + rng.random() * SOON_S if repeats else 0.0
        found.append(
            Trouble(
                at_s=min(soon_s, seconds) if repeats else rng.random() * seconds,
                kind=kind,
                for_s=rng.uniform(SHORTEST_S, LONGEST_S),
                pick=rng.random(),
                variant=rng.random(),
            )
        )
    return sorted(found, key=lambda t: t.at_s)
