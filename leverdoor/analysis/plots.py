# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Draws reports of lost requests.

Owns no state; needs matplotlib, which only this optional part uses.
"""

from collections import Counter
from pathlib import Path

from leverdoor.analysis.losses import Cause, Loss
from leverdoor.errors import SettingsError

__all__ = ["plot_losses"]

WIDTH_INCHES = 10.0
"""Width of a plot: a day of a minute then has readable bars."""
HEIGHT_INCHES = 5.0
"""Height of a plot; half of its width."""


def plot_losses(losses: list[Loss], path: Path) -> None:
    """Draw lost requests over time, by cause.

    Args:
      losses: the lost requests.
      path: the picture's file; its suffix says the format.
    Raises:
      SettingsError: matplotlib is not installed, or the format is unknown.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError:
        raise SettingsError(
            "matplotlib is not installed; install leverdoor[plots]", field="--plot"
        ) from None
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    axes = figure.add_subplot()
    seconds = range(int(max((x.at for x in losses), default=0.0)) + 1)
    base = [0] * len(seconds)
    for cause in Cause:
        counts = Counter(int(x.at) for x in losses if x.cause is cause)
        if not counts:
            continue
        heights = [counts[s] for s in seconds]
        axes.bar(seconds, heights, bottom=base, width=1.0, label=str(cause))
        base = [b + h for b, h in zip(base, heights, strict=True)]
    axes.set_xlabel("seconds since the first event")
    axes.set_ylabel("lost requests a second")
    if losses:
        axes.legend()
    try:
        figure.savefig(path)
    except ValueError as e:
        raise SettingsError(str(e), field="--plot") from None
