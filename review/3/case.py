"""Configurations come in quick succession; entries go over their memory and are killed.

The operator adds many routes, twelve times 350, and then changes the time-out of one
route each third of a second. An entry keeps every one of the last 5,000 changes with
its whole value, so that its memory grows by the size of the configuration at each
change. The platform kills a process that goes over `memory-mb`; all that it had passed
on is lost.
"""

import asyncio
import json
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand import Client, Entry, Site, play, route

PLACES = {
    "frontend-salt-lake-1": ("salt-lake", "kolkata"),
    "frontend-matigara-1": ("matigara", "siliguri"),
}
VALUE_BYTES = 1_048_576
"""`value_bytes` of the store: the greatest configuration."""
MEMORY_MB = 300
"""`memory-mb` of the machines, taken as MiB."""
BIG_CONFIGS = 12
ROUTES_EACH = 350
"""Routes that one `big_config` adds."""
BIG_GAP_S = 0.3
STORM_GAP_S = 0.33
"""Pause between two changes of a `config_storm`."""
STORM_S = 4.0
"""Length of one `config_storm`; each begins where the one before has ended."""
STORM_CHANGES = 12
LENGTH_S = 97.0
RESTART_S = 0.5
CONNECTIONS = 16
MOST_LOST = 3


class Operator:
    """Writes configurations."""

    def __init__(self, site: Site) -> None:
        """Start without added routes."""
        self._site = site
        self._added: list[str] = []
        self.version = 3

    def add_routes(self) -> None:
        """Add as many routes as one `big_config`."""
        first = len(self._added)
        for number in range(first, first + ROUTES_EACH):
            added = route(
                f"r-{number:07x}",
                "safe",
                "dispute-registry",
                path_prefix=f"/xapu{number:05d}/municipal-ny95/",
                session_affinity=True,
                home_regions=[],
            )
            self._added.append(json.dumps(added, separators=(",", ":")))
        self.write(2500)

    def write(self, timeout_ms: int) -> None:
        """Write the configuration with a time-out of the first route."""
        self.version += 2
        first = json.dumps(filing(timeout_ms))
        rest = {
            "version": f"{self.version:08x}",
            "services": [
                {
                    "name": "dispute-registry",
                    "health-check-path": "/health",
                    "connection-limit": 390,
                    "warmup-per-s": 11.0,
                }
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 67108864,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        }
        routes = ",".join([first, *self._added])
        text = f'{{"routes":[{routes}],{json.dumps(rest)[1:]}'
        if len(text) > VALUE_BYTES:
            raise ValueError(f"a configuration of {len(text)} bytes")
        self._site.store.put("op/config", text.encode())
        self._site.record.add(
            "configured", version=self.version, routes=len(self._added), size=len(text)
        )


def filing(timeout_ms: int) -> dict[str, object]:
    """Return the route that clients use."""
    return route("filing", "unsafe", "dispute-registry", timeout_ms=timeout_ms)


class Platform:
    """Kills processes that go over their memory, and starts them again."""

    def __init__(self, site: Site) -> None:
        """Watch the entries of a site once it runs."""
        self._site = site
        self.killed: list[str] = []
        self.peak_mb: dict[str, float] = {}

    async def watch(self, entry: Entry) -> None:
        """Watch one entry until cancelled."""
        told = 0
        while True:
            used = entry.memory_mb()
            self.peak_mb[entry.name] = max(self.peak_mb.get(entry.name, 0), used)
            if used // 25 > told:
                told = int(used // 25)
                self._site.record.add("memory", name=entry.name, mb=round(used, 1))
            if used > MEMORY_MB:
                self._site.record.add("over memory", name=entry.name, mb=round(used, 1))
                assert entry.process is not None
                entry.process.kill()
                await entry.process.wait()
                self.killed.append(entry.name)
                await asyncio.sleep(RESTART_S)
                await entry.start()
                told = 0
            await asyncio.sleep(0.05)


class Clients:
    """File disputes over kept connections, one after the other on each."""

    def __init__(self, site: Site) -> None:
        """Create them without a connection."""
        self._site = site
        self.statuses: Counter[str] = Counter()
        self.lost: dict[str, list[str]] = {}
        """By entry, ids that were passed on and whose connection closed."""
        self.ended = False

    async def use(self, entry: Entry) -> None:
        """Use one connection until the end."""
        client = Client(entry.front)
        site = self._site
        while not self.ended:
            kept = client.connected
            request_id = site.new_id()
            headers = [("X-Request-Id", request_id), ("X-Deadline-Ms", "4000")]
            path = f"/filing/{request_id}"
            site.record.add("sent", id=request_id, to=entry.name, kept=kept)
            answer = await client.ask("POST", path, headers, b"dispute " * 50)
            status = "none" if answer is None else str(answer.status)
            self.statuses[status] += 1
            site.record.add("client got", id=request_id, status=status)
            reached = any(
                request_id == arrived
                for u in site.upstreams.values()
                for _, arrived in u.arrivals[-200:]
            )
            if answer is None and kept and reached:
                site.record.add("lost", id=request_id, entry=entry.name)
                self.lost.setdefault(entry.name, []).append(request_id)
            if answer is None:
                await asyncio.sleep(0.2)
        client.close()


async def case(folder: Path, trouble: bool) -> bool:
    """Play it; return whether LOST held."""
    site = Site(folder, PLACES)
    tasks: list[asyncio.Task[None]] = []
    try:
        for zone in ("salt-lake", "matigara"):
            for i in range(5):
                name = f"i-{zone}-{i}"
                site.add(name, "dispute-registry", zone, work_s=0.4, slots=6)
        await site.start([filing(2500)])
        operator, platform, clients = Operator(site), Platform(site), Clients(site)
        began = time.monotonic()
        for entry in site.entries.values():
            tasks.append(asyncio.create_task(platform.watch(entry)))
            for _ in range(CONNECTIONS):
                tasks.append(asyncio.create_task(clients.use(entry)))
        if trouble:
            for _ in range(BIG_CONFIGS):
                operator.add_routes()
                await asyncio.sleep(BIG_GAP_S)
        changes = storms = 0
        first = time.monotonic()
        while time.monotonic() - began < LENGTH_S:
            if len(set(platform.killed)) == len(site.entries):
                break
            storm, step = divmod(changes, STORM_CHANGES)
            due = first + storm * STORM_S + step * STORM_GAP_S
            await asyncio.sleep(max(due - time.monotonic(), 0.01))
            changes += 1
            if trouble:
                storms = storm + 1
                operator.write(2000 + changes % 500)
        await asyncio.sleep(1.5)
        clients.ended = True
        peaks = {name: round(mb) for name, mb in platform.peak_mb.items()}
        counts = {name: len(ids) for name, ids in clients.lost.items()}
        played = f"storms {storms}, changes {changes if trouble else 0}"
        print(f"answers {dict(clients.statuses)}, {played}, peak MiB {peaks}")
        print(f"killed over memory: {platform.killed}; lost requests: {counts}")
        return all(count <= MOST_LOST for count in counts.values())
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await site.stop()


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent, limit_s=116.0))
