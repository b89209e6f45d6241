# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Plays the faults of a soak's plan: each begins at its time and is undone.

One table says what each kind does; entries, store and targets have modules of their
own, links and the operator's changes stand here. State: none beyond the site's.
"""

import asyncio

from leverdoor.standins.entry_site import SAMPLE_ROUTES
from leverdoor.standins.metadata import MetadataFaults
from leverdoor.standins.proxy import LinkFault
from leverdoor.standins.soak import target_faults
from leverdoor.standins.soak.entry_faults import EntryFaults
from leverdoor.standins.soak.plan import FaultAction, FaultKind, PlannedFault
from leverdoor.standins.soak.record import Record, now_s
from leverdoor.standins.soak.site import REGIONS, SoakSite
from leverdoor.standins.soak.store_faults import StoreFaults
from leverdoor.standins.soak.target_faults import UpstreamFaults

__all__ = ["SoakFaults"]

LINK_FAULTS = [f for f in LinkFault if f is not LinkFault.NONE]
STORE_AWAY = (
    FaultKind.STORE_SILENT,
    FaultKind.STORE_BUSY,
    FaultKind.STORE_RESET,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_LAPSE,
)
"""Faults during which the store does not answer all as usual."""
SLOW_STORE_S = 0.3
"""Time of an answer of a slow store, in seconds."""
SHORT_TIMEOUT_SHARE = 0.3
"""Share of the changes of configuration that shorten a route's time."""
SHORT_TIMEOUT_MS = 1_500
"""That route's time in ms; 2,000 in the sample routes."""


class SoakFaults:
    """What each kind of fault does."""

    def __init__(self, site: SoakSite, record: Record) -> None:
        """Create it.

        Args:
          site: what the faults happen to.
          record: where planned stops and other disturbances of entries are noted.
        """
        self._site = site
        self._record = record
        entries = EntryFaults(site, record)
        store = StoreFaults(site)
        targets = UpstreamFaults(site)
        kinds = FaultKind
        self._actions: dict[FaultKind, FaultAction] = {
            kinds.KILL: entries.kill,
            kinds.STOP: entries.stop,
            kinds.PAUSE: entries.pause,
            kinds.RELOAD: entries.reload,
            kinds.CLOCK: entries.clock,
            kinds.KILL_ALL: entries.kill_all,
            kinds.STORE_SILENT: store.behave(MetadataFaults(silent=True)),
            kinds.STORE_BUSY: store.behave(MetadataFaults(busy=503)),
            kinds.STORE_RESET: store.behave(MetadataFaults(reset=True)),
            kinds.STORE_SLOW: store.behave(MetadataFaults(delay_s=SLOW_STORE_S)),
            kinds.STORE_LOSES_WRITES: store.lose_writes,
            kinds.STORE_FORGETS: store.forget,
            kinds.STORE_LAPSE: store.lapse,
            kinds.LINK_STORE: self._links("store/"),
            kinds.LINK_TARGET: self._links("target/"),
            kinds.LINK_CLIENTS: self._links("front/"),
            kinds.TARGET_CRASH: targets.crash,
            kinds.TARGET_LEAVES: targets.leave,
            kinds.TARGET_SLOW: targets.harm(target_faults.slow),
            kinds.TARGET_LOSES_ANSWERS: targets.harm(target_faults.lose_answers),
            kinds.TARGET_REPEATS_ANSWERS: targets.harm(target_faults.repeat_answers),
            kinds.TARGET_JOINS: targets.join,
            kinds.ADDRESS_REUSED: targets.reuse,
            kinds.CONFIGURE: self._configure,
            kinds.EVACUATE: self._evacuate,
        }

    async def play(self, fault: PlannedFault) -> None:
        """Play one fault, and undo it when its time is over."""
        began = now_s()
        await self._actions[fault.kind](fault)
        if fault.kind in STORE_AWAY:
            self._record.store_disturbed.append((began, now_s()))

    def end_all(self) -> None:
        """End what still harms links and the store."""
        self._site.set_link_fault("", LinkFault.NONE)
        self._site.store.faults = MetadataFaults()

    # Links.

    def _links(self, kind: str) -> FaultAction:
        async def run(fault: PlannedFault) -> None:
            names = sorted(n for n in self._site.proxies if n.startswith(kind))
            name = names[int(fault.pick * len(names))]
            harm = LINK_FAULTS[int(fault.variant * len(LINK_FAULTS))]
            began = now_s()
            self._site.set_link_fault(name, harm)
            await asyncio.sleep(fault.for_s)
            self._site.set_link_fault(name, LinkFault.NONE)
            entry = name.partition("/")[2]
            self._record.note_disturbance(entry, began, now_s())

        return run

    # The operator.

    async def _configure(self, fault: PlannedFault) -> None:
        routes = [dict(r) for r in SAMPLE_ROUTES]
        if fault.variant < SHORT_TIMEOUT_SHARE:
            routes[0]["timeout-ms"] = SHORT_TIMEOUT_MS
        self._site.configure(routes)

    async def _evacuate(self, fault: PlannedFault) -> None:
        region = REGIONS[int(fault.pick * len(REGIONS))]
        key = f"op/evacuate/{region}1"
        self._site.store.put(key, b"{}")
        await asyncio.sleep(fault.for_s)
        self._site.store.remove(key)
