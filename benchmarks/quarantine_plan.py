# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What a run of emulated_quarantine.py plays, and what it shows. Owns no state."""

import msgspec

__all__ = ["QuarantineFigures", "QuarantinePlan"]


class QuarantinePlan(msgspec.Struct, frozen=True):
    """What is played."""

    entries: int
    fatal: int = 1
    """Requests that end each target that runs them."""
    loss: float = 0.0
    """Share of the datagrams that are lost."""
    cut: bool = False
    """A region is cut off from the others for five seconds."""
    killed: bool = False
    """All entries are killed in the middle."""
    at_once: float = 0.0
    """Share of the targets that end at one moment."""
    cascade: float = 0.0
    """Targets that end by themselves each second for a while, as a share of all."""
    per_entry: float = 14.0
    """Attempts a second at an entry; on busy days 8 to 16."""
    count_only: bool = False
    """Weighed: hold back whatever was lost three times, without any other rule."""
    seed: int = 1


class QuarantineFigures(msgspec.Struct):
    """What one run shows."""

    most_sent_late: int = 0
    """Sends of a fatal request to targets later than 4 s after the third ended under
    it, of the one with the most; three are allowed."""
    most_ended: int = 0
    """Targets that ended under one fatal request, at most."""
    harmless_refused: int = 0
    """Attempts of harmless requests that were turned away."""
    harmless_held: int = 0
    """Harmless requests that any entry held back."""
    harmless: int = 0
    """Attempts of harmless requests."""
    harmless_lost: int = 0
    """Harmless runs that ended with their targets."""
    kb_per_s: float = 0.0
    """Bytes sent by an entry, on average, with the headers of IP and UDP."""
    busiest_kb_per_s: float = 0.0
    """The same for the entry that sends most."""

    def line(self) -> str:
        """Return the figures by name on one line."""
        found = []
        for name in self.__struct_fields__:
            value = getattr(self, name)
            text = f"{value:.2f}" if isinstance(value, float) else str(value)
            found.append(f"{name}={text}")
        return " ".join(found)
