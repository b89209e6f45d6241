# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Draws docs/architecture.svg; run it from the repository's root (needs matplotlib)."""

from pathlib import Path

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.patches import FancyBboxPatch

OUT = Path("docs/architecture.svg")
WIDTH = 2.3
"""Width of a box."""
HEIGHT = 0.9
"""Height of a box."""
BOXES = {
    "caller": (0.2, 2.4, "caller", "#eef3fb"),
    "directory": (3.6, 4.2, "entry: directory\nwhich entries to use", "#fdf3e1"),
    "front": (3.6, 2.4, "entry: front, placement\nkey, load, region", "#fdf3e1"),
    "targets": (7.0, 2.4, "targets of all regions", "#eef3fb"),
    "operator": (0.2, 0.4, "operator", "#eef3fb"),
    "store": (3.6, 0.4, "platform's store\nresources, registrations", "#eaf6ea"),
    "others": (7.0, 0.4, "other entries", "#fdf3e1"),
}
"""Left edge, lower edge, text and colour of each box."""
ARROWS = [
    ((2.55, 3.2), (3.5, 4.2), "where to go", (2.6, 3.9)),
    ((2.55, 2.85), (3.5, 2.85), "request", (3.02, 2.93)),
    ((5.95, 2.85), (6.95, 2.85), "attempt", (6.45, 2.93)),
    ((4.75, 2.3), (4.75, 1.4), "watch", (4.45, 1.8)),
    ((5.95, 2.4), (7.2, 1.4), "heartbeats:\nloads, shares,\nwarm keys", (7.3, 1.75)),
    ((2.55, 0.85), (3.5, 0.85), "writes", (3.02, 0.93)),
    ((6.95, 0.85), (5.95, 0.85), "watch", (6.45, 0.93)),
]
"""From where to where, what goes there, and where that is written."""


def draw(axes: Axes) -> None:
    """Draw boxes and arrows."""
    for start, end, label, place in ARROWS:
        axes.annotate("", end, start, arrowprops={"arrowstyle": "->"})
        axes.text(*place, label, fontsize=7, ha="center")
    for left, low, text, colour in BOXES.values():
        box = FancyBboxPatch(
            (left, low), WIDTH, HEIGHT, boxstyle="round,pad=0.05", fc=colour, ec="#555"
        )
        axes.add_patch(box)
        middle = left + WIDTH / 2, low + HEIGHT / 2
        axes.text(*middle, text, ha="center", va="center", fontsize=8)


def main() -> None:
    """Write the picture; the same input gives the same bytes."""
    mpl.rcParams["svg.hashsalt"] = "leverdoor"
    figure = Figure(figsize=(9.0, 5.4), layout="constrained")
    axes = figure.add_subplot()
    axes.set_xlim(0, 9.6)
    axes.set_ylim(0, 5.6)
    axes.axis("off")
    draw(axes)
    figure.savefig(OUT, metadata={"Date": None})


if __name__ == "__main__":
    main()
