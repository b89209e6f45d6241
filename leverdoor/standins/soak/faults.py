# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Lets the troubles of a plan strike a site, and takes them back."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from leverdoor.standins.entry_site import SAMPLE_ROUTES, EntryProcess
from leverdoor.standins.metadata import MetadataFaults
from leverdoor.standins.proxy import LinkFault
from leverdoor.standins.soak.plan import Trouble, TroubleKind
from leverdoor.standins.soak.record import Record
from leverdoor.standins.soak.site import REGIONS, SERVICES, SoakSite
from leverdoor.standins.upstreams import UpstreamStandin

__all__ = ["Faults"]

LINK_FAULTS = [f for f in LinkFault if f is not LinkFault.NONE]
CLOCK_OFFSETS_S = (-3600.0, -2.0, 2.0, 3600.0)
"""Offsets by which a clock is set, in seconds: small ones and an hour."""
SLOW_STORE_S = 0.3
"""Time of an answer of a slow store, in seconds."""
LOST_WRITES = 3
"""Writes whose answers are lost."""
LATE_WRITE_S = 2.0
"""How much later a lost write is done, in seconds."""
SLOW_TARGET_X = 8.0
"""Times that a slow target takes."""
EVERY = 5
"""Every so many answers are harmed."""
STOP_LIMIT_S = 8.0
"""Longest time that a planned stop may take, in seconds: the grace and 2 s."""
POLL_S = 0.02
"""Seconds between two looks while something is awaited."""


class Faults:
    """What each kind of trouble does."""

    def __init__(self, site: SoakSite, record: Record) -> None:
        """Create it.

        Args:
          site: what is struck.
          record: where planned stops and other strikes at entries are noted.
        """
        self._site = site
        self._record = record
        self._locks = {name: asyncio.Lock() for name in site.entries}
        kinds = TroubleKind
        self._ways: dict[TroubleKind, Callable[[Trouble], Awaitable[None]]] = {
            kinds.KILL: self._kill,
            kinds.STOP: self._stop,
            kinds.PAUSE: self._pause,
            kinds.RELOAD: self._reload,
            kinds.CLOCK: self._clock,
            kinds.KILL_ALL: self._kill_all,
            kinds.STORE_SILENT: self._store(MetadataFaults(silent=True)),
            kinds.STORE_BUSY: self._store(MetadataFaults(busy=503)),
            kinds.STORE_RESET: self._store(MetadataFaults(reset=True)),
            kinds.STORE_SLOW: self._store(MetadataFaults(delay_s=SLOW_STORE_S)),
            kinds.STORE_LOSES_WRITES: self._lose_writes,
            kinds.STORE_FORGETS: self._forget,
            kinds.STORE_LAPSE: self._lapse,
            kinds.LINK_STORE: self._links("store/"),
            kinds.LINK_TARGET: self._links("target/"),
            kinds.LINK_CLIENTS: self._links("front/"),
            kinds.TARGET_CRASH: self._crash,
            kinds.TARGET_LEAVES: self._leave,
            kinds.TARGET_SLOW: self._harm(_slow),
            kinds.TARGET_LOSES_ANSWERS: self._harm(_lose_answers),
            kinds.TARGET_REPEATS_ANSWERS: self._harm(_repeat_answers),
            kinds.TARGET_JOINS: self._join,
            kinds.ADDRESS_REUSED: self._reuse,
            kinds.CONFIGURE: self._configure,
            kinds.EVACUATE: self._evacuate,
        }

    async def strike(self, trouble: Trouble) -> None:
        """Let one trouble strike, and end it when its time is over."""
        await self._ways[trouble.kind](trouble)

    def end_all(self) -> None:
        """End what still harms links and the store."""
        self._site.strike_links("", LinkFault.NONE)
        self._site.store.faults = MetadataFaults()

    # Entries.

    def _pick(self, trouble: Trouble) -> EntryProcess:
        names = sorted(self._site.entries)
        return self._site.entries[names[int(trouble.pick * len(names))]]

    def _struck(self, entry: str, began: float) -> None:
        self._record.unplanned.append((entry, began, _now()))

    async def _kill(self, trouble: Trouble) -> None:
        await self._kill_one(self._pick(trouble), trouble.for_s)

    async def _kill_one(self, entry: EntryProcess, down_s: float) -> None:
        began = _now()
        async with self._locks[entry.name]:
            entry.send(signal.SIGKILL)
            await entry.ended()
            await asyncio.sleep(down_s)
            await entry.start()
        self._struck(entry.name, began)

    async def _kill_all(self, trouble: Trouble) -> None:
        entries = self._site.entries.values()
        await asyncio.gather(*(self._kill_one(e, trouble.for_s) for e in entries))

    async def _stop(self, trouble: Trouble) -> None:
        entry = self._pick(trouble)
        async with self._locks[entry.name]:
            began = _now()
            entry.send(signal.SIGTERM)
            try:
                async with asyncio.timeout(STOP_LIMIT_S):
                    await entry.ended()
                self._record.stops.append((entry.name, began, _now()))
            except TimeoutError:
                entry.send(signal.SIGKILL)
                await entry.ended()
                self._struck(entry.name, began)
            await entry.start()

    async def _pause(self, trouble: Trouble) -> None:
        entry = self._pick(trouble)
        began = _now()
        async with self._locks[entry.name]:
            entry.send(signal.SIGSTOP)
            await asyncio.sleep(trouble.for_s)
            entry.send(signal.SIGCONT)
        self._struck(entry.name, began)

    async def _reload(self, trouble: Trouble) -> None:
        """Ask for a reload; not of a process whose interpreter still starts."""
        entry = self._pick(trouble)
        async with self._locks[entry.name]:
            while not entry.told_anything():
                await asyncio.sleep(POLL_S)
            entry.send(signal.SIGHUP)

    async def _clock(self, trouble: Trouble) -> None:
        entry = self._pick(trouble)
        offset_s = CLOCK_OFFSETS_S[int(trouble.variant * len(CLOCK_OFFSETS_S))]
        self._site.set_clock(entry.name, offset_s)
        await self._kill_one(entry, 0.0)
        await asyncio.sleep(trouble.for_s)
        self._site.set_clock(entry.name, 0.0)
        await self._kill_one(entry, 0.0)

    # The store and links.

    def _store(self, faults: MetadataFaults) -> Callable[[Trouble], Awaitable[None]]:
        async def strike(trouble: Trouble) -> None:
            self._site.store.faults = faults
            await asyncio.sleep(trouble.for_s)
            self._site.store.faults = MetadataFaults()

        return strike

    async def _lose_writes(self, trouble: Trouble) -> None:
        late_s = LATE_WRITE_S if trouble.variant < 0.5 else 0.0
        faults = MetadataFaults(lose_writes=LOST_WRITES, late_s=late_s)
        await self._store(faults)(trouble)

    async def _forget(self, _: Trouble) -> None:
        self._site.store.forget_history()

    async def _lapse(self, trouble: Trouble) -> None:
        """Take all entries of targets away; those that live write them again."""
        silent = trouble.variant < 0.5
        store = self._site.store
        store.faults = MetadataFaults(silent=silent, busy=0 if silent else 503)
        await asyncio.sleep(trouble.for_s)
        expired = {
            k: v.value for k, v in store.items.items() if k.startswith("servers")
        }
        for key in expired:
            store.remove(key)
        store.faults = MetadataFaults()
        await asyncio.sleep(trouble.variant)
        for key, value in expired.items():
            if key.removeprefix("servers/") not in self._site.left:
                store.put(key, value)

    def _links(self, kind: str) -> Callable[[Trouble], Awaitable[None]]:
        async def strike(trouble: Trouble) -> None:
            names = sorted(n for n in self._site.proxies if n.startswith(kind))
            name = names[int(trouble.pick * len(names))]
            fault = LINK_FAULTS[int(trouble.variant * len(LINK_FAULTS))]
            began = _now()
            self._site.strike_links(name, fault)
            await asyncio.sleep(trouble.for_s)
            self._site.strike_links(name, LinkFault.NONE)
            self._struck(name.partition("/")[2], began)

        return strike

    # Targets.

    def _pick_target(self, trouble: Trouble, leaves: bool = False) -> str | None:
        """Choose a target that stays; one that leaves is noted at once."""
        names = self._site.stayers()
        if not names:
            return None
        name = names[int(trouble.pick * len(names))]
        if leaves:
            self._site.left[name] = _now()
        return name

    async def _crash(self, trouble: Trouble) -> None:
        name = self._pick_target(trouble, leaves=True)
        if name is not None:
            await self._site.end_target(name)

    async def _leave(self, trouble: Trouble) -> None:
        name = self._pick_target(trouble, leaves=True)
        if name is None:
            return
        if trouble.variant < 0.5:
            self._site.drain_target(name)
        else:
            self._site.store.remove(f"servers/{name}")

    def _harm(
        self, begin: Callable[[UpstreamStandin], None]
    ) -> Callable[[Trouble], Awaitable[None]]:
        """Return what harms a target's answers for a while."""

        async def strike(trouble: Trouble) -> None:
            name = self._pick_target(trouble)
            if name is None:
                return
            target = self._site.targets[name]
            begin(target)
            await asyncio.sleep(trouble.for_s)
            target.answer_well()

        return strike

    async def _join(self, trouble: Trouble) -> None:
        service = SERVICES[int(trouble.variant * len(SERVICES))]
        await self._site.join_target(service, REGIONS[int(trouble.pick * len(REGIONS))])

    async def _reuse(self, trouble: Trouble) -> None:
        name = self._pick_target(trouble, leaves=True)
        if name is not None:
            await self._site.reuse_address(name)

    # The operator.

    async def _configure(self, trouble: Trouble) -> None:
        routes = [dict(r) for r in SAMPLE_ROUTES]
        if trouble.variant < 0.3:
            routes[0]["timeout-ms"] = 1_500
        self._site.configure(routes)

    async def _evacuate(self, trouble: Trouble) -> None:
        region = REGIONS[int(trouble.pick * len(REGIONS))]
        key = f"op/evacuate/{region}1"
        self._site.store.put(key, b"{}")
        await asyncio.sleep(trouble.for_s)
        self._site.store.remove(key)


def _slow(target: UpstreamStandin) -> None:
    target.slow_x = SLOW_TARGET_X


def _lose_answers(target: UpstreamStandin) -> None:
    target.lose_every = EVERY


def _repeat_answers(target: UpstreamStandin) -> None:
    target.repeat_every = EVERY


def _now() -> float:
    return asyncio.get_running_loop().time()
