# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Targets of a soak whose replies never end, of one kind after the other.

Owns the target that it runs; the registration stays in the store.
"""

import asyncio
from random import Random

from leverdoor.standins.broken_targets import ENDLESS_REPLIES, BrokenTarget
from leverdoor.standins.soak.memory import MEMORY_MB
from leverdoor.standins.soak.site import REGIONS, SERVICES, SoakSite

__all__ = ["SMALLEST_VM", "run_broken_target"]

SMALLEST_VM = {"memory-mb": MEMORY_MB, "file-descriptors": 2_870}
"""Resources of the entries, whose memory the soak watches."""
KINDS = [kind for kind in ENDLESS_REPLIES if kind != "after-a-reply"]
"""Kinds whose replies are no success of the request."""
MEAN_KIND_S = 3.0
"""Mean time for which a target has replies of one kind, in seconds."""


async def run_broken_target(site: SoakSite, number: int, seed: int) -> None:
    """Run a target until cancelled.

    Args:
      site: the site.
      number: of the target.
      seed: draws the kinds of its replies.
    """
    rng = Random(f"broken/{seed}/{number}")
    target = BrokenTarget(
        f"i-broken-{number}",
        SERVICES[number % len(SERVICES)],
        f"{REGIONS[number % len(REGIONS)]}1",
        ENDLESS_REPLIES[KINDS[0]],
    )
    await target.start()
    try:
        while True:
            key = f"servers/{target.name}"
            if key not in site.store.items:
                site.store.put(key, target.registration())
            target.reply = ENDLESS_REPLIES[rng.choice(KINDS)]
            await asyncio.sleep(2 * MEAN_KIND_S * rng.random())
    finally:
        await target.stop()
