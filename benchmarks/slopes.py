# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Measures what each part costs at several sizes, and fits lines through it.

    python benchmarks/slopes.py            # all, some minutes
    python benchmarks/slopes.py lookup     # one

docs/CAPACITY.md works out the fleet from what this prints.
"""

import argparse
import gc
import resource
import statistics
import subprocess
import sys
import time
import zlib
from collections.abc import Callable, Sequence
from random import Random

from leverdoor.codec import pack, unpack
from leverdoor.membership.ownership import (
    Ack,
    GateProcess,
    RowSpec,
    Table,
    parse_table,
    plan,
    serialize_table,
)
from leverdoor.membership.peers import AgentHeartbeat, GateState, Gossip, Load, Peers
from leverdoor.model.blocks import ClientRegionMap, compile_blocks
from leverdoor.model.resources import (
    ClientBlocks,
    Region,
    Resource,
    Service,
    Target,
    WorkClass,
    resource_key,
    serialize_resource,
)
from leverdoor.storage.state import RESOURCES, Delta, State
from leverdoor.storage.store import Event
from leverdoor.storage.view import View, ViewCache

REPEATS = 3
CHUNK = 5_000


def rss_kb() -> int:
    """Resident memory of this process now."""
    with open("/proc/self/statm") as f:
        return int(f.read().split()[1]) * resource.getpagesize() // 1024


def cpu(work: Callable[[], object]) -> float:
    """Least processor time of some runs, in seconds."""
    took = []
    for _ in range(REPEATS):
        gc.collect()
        began = time.process_time()
        work()
        took.append(time.process_time() - began)
    return min(took)


def fit(name: str, unit: str, points: Sequence[tuple[float, float]]) -> None:
    """Print a least-squares line and how far the points are from it."""
    xs, ys = [p[0] for p in points], [p[1] for p in points]
    line = statistics.linear_regression(xs, ys)
    worst = max(abs(y - line.intercept - line.slope * x) for x, y in points)
    shown = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
    print(
        f"{name}: {line.slope:.4g} {unit} each + {line.intercept:.4g}; "
        f"off by {worst:.3g} at most ({shown})",
        flush=True,
    )


def chunk(number: int, size: int) -> ClientBlocks:
    """Return one chunk of client blocks."""
    rng = Random(number)
    networks: dict[str, list[str]] = {}
    for i in range(number * CHUNK, number * CHUNK + size):
        address = f"{10 + i // 65536 % 200}.{i // 256 % 256}.{i % 256}.0/24"
        networks.setdefault(f"r{rng.randrange(28)}", []).append(address)
    return ClientBlocks(name=f"b{number}", networks=networks)


def chunks(blocks: int) -> list[ClientBlocks]:
    """Return client blocks in chunks."""
    return [
        chunk(i, min(CHUNK, blocks - i * CHUNK)) for i in range(-(-blocks // CHUNK))
    ]


def compiled(resources: Sequence[ClientBlocks]) -> ClientRegionMap:
    return ClientRegionMap({r.name: compile_blocks(r) for r in resources})


def in_child(name: str, size: int) -> float:
    """Measure in a process of its own, so that memory starts from nothing."""
    out = subprocess.run(
        [sys.executable, __file__, "--child", name, str(size)],
        capture_output=True,
        text=True,
        check=True,
    )
    return float(out.stdout)


def state_with(resources: Sequence[Resource]) -> State:
    state = State()
    events = [
        Event(1, RESOURCES + resource_key(r), serialize_resource(r)) for r in resources
    ]
    state.apply(Delta(0, 1, True, events))
    return state


def region_resources(targets: int) -> list[Resource]:
    found: list[Resource] = [
        Region(name="r", domains=["d0", "d1"]),
        Service(name="s", work=WorkClass.LOOKUP),
    ]
    for i in range(targets):
        found.append(
            Target(
                name=f"t{i}",
                service="s",
                region="r",
                domain=f"d{i % 2}",
                address=f"10.{i // 62500}.{i // 250 % 250}.{i % 250 + 1}:80",
                slots=6,
            )
        )
    return found


def heartbeat(i: int, region: str = "r", seq: int = 1) -> AgentHeartbeat:
    loads = {s: Load(60, 20, 3, 21.5) for s in ("call-records", "disputes", "records")}
    return AgentHeartbeat(
        vm=f"vm{i:04}",
        region=region,
        domain=f"{region}-{i % 2}",
        gossip=f"10.0.{i // 250}.{i % 250}:7401",
        api=f"10.0.{i // 250}.{i % 250}:7400",
        agent=1764666000000000 + i,
        seq=seq,
        revision=12345,
        gate=f"10.0.{i // 250}.{i % 250}:8080",
        relay=f"10.0.{i // 250}.{i % 250}:8081",
        incarnation=1764666000000000 + i,
        gate_revision=12345,
        ack=Ack(321),
        state=GateState.SERVING,
        loads=loads,
        caps={"c:call-records:r": 3},
    )


# What is measured.


def child(name: str, size: int) -> float:
    """One size in a fresh process; returns kB."""
    gc.collect()
    before = rss_kb()
    if name.startswith("blocks"):
        state = State()
        kept: object = (state, ViewCache(state, with_blocks=name == "blocks in a gate"))
        for i in range(-(-size // CHUNK)):
            value = serialize_resource(chunk(i, min(CHUNK, size - i * CHUNK)))
            event = Event(i + 1, f"{RESOURCES}clientblocks/b{i}", value)
            state.apply(Delta(i, i + 1, False, [event]))
    elif name == "targets":
        state = state_with(region_resources(size))
        kept = (state, ViewCache(state))
    else:
        peers = Peers("vm", "r")
        raw = [pack(heartbeat(i, f"r{i % 28}")) for i in range(size)]
        peers.merge((unpack(b, AgentHeartbeat) for b in raw), 0.0)
        kept = peers
    gc.collect()
    used = rss_kb() - before
    del kept
    return used


def memory() -> None:
    sizes = {
        "blocks in a gate": (20_000, 55_000, 110_000, 220_000),
        "blocks in an agent": (20_000, 55_000, 110_000, 220_000),
        "targets": (1_000, 4_000, 8_000, 16_000),
        "peers": (250, 625, 1_250, 2_500),
    }
    for name, each in sizes.items():
        fit(f"memory {name}", "kB", [(n, in_child(name, n)) for n in each])


def lookup() -> None:
    rng = Random(2)
    points = []
    for blocks in (20_000, 55_000, 110_000, 220_000):
        block_map = compiled(chunks(blocks))
        asked = [
            f"{10 + rng.randrange(4)}.{rng.randrange(256)}.{rng.randrange(256)}.9"
            for _ in range(50_000)
        ]
        took = cpu(lambda m=block_map, a=asked: [m.region(x) for x in a])  # type: ignore[misc]
        points.append((blocks, took / len(asked) * 1e6))
    fit("look-up of a block", "us", points)


def change_blocks() -> None:
    points = []
    for blocks in (20_000, 55_000, 110_000, 220_000):
        parts = chunks(blocks)
        points.append((blocks, cpu(lambda p=parts: compiled(p)) * 1000))  # type: ignore[misc]
    fit("compiling all blocks", "ms", points)
    points = []
    for blocks in (20_000, 55_000, 110_000, 220_000):
        cache = ViewCache(state_with(chunks(blocks)))
        value = serialize_resource(chunks(2_200)[0])
        delta = Delta(1, 2, False, [Event(2, RESOURCES + "clientblocks/b0", value)])
        points.append((blocks, cpu(lambda c=cache, d=delta: c.take(d)) * 1000))  # type: ignore[misc]
    fit("changing 2,200 blocks, by blocks held", "ms", points)
    size = len(serialize_resource(chunk(0, CHUNK)))
    print(f"a chunk of {CHUNK} blocks is {size} bytes")


def change_target() -> None:
    points = []
    for targets in (1_000, 4_000, 8_000, 16_000):
        cache = ViewCache(state_with(region_resources(targets)))
        value = serialize_resource(Service(name="s", work=WorkClass.LOOKUP, queue=7))
        delta = Delta(1, 2, False, [Event(2, RESOURCES + "service/s", value)])
        points.append((targets, cpu(lambda c=cache, d=delta: c.take(d)) * 1000))  # type: ignore[misc]
    fit("one change, by resources held", "ms", points)


def table() -> None:
    sizes, costs, after_gone = [], [], []
    for targets in (125, 250, 500, 1_000):
        members = [
            GateProcess(f"vm{i:04}", f"10.0.0.{i}:8080", 1764666000000000, f"d{i % 2}")
            for i in range(90)
        ]
        specs = {f"t:10.0.{i // 250}.{i % 250}:80": RowSpec(6) for i in range(targets)}
        first = plan(Table("r"), specs, members)
        assert first is not None
        sizes.append((targets, len(serialize_table(first)) / 1000))
        costs.append((targets, cpu(lambda t=first, s=specs, m=members: plan(t, s, m))))  # type: ignore[misc]
        dead = frozenset({members[0].identity})
        gone = plan(first, specs, members[1:], dead_identities=dead)
        assert gone is not None
        moved = sum(r.units for row in gone.rows.values() for r in row.releases)
        after_gone.append((targets, moved / (targets * 6) * 100))
        assert parse_table(serialize_table(first)) == first
    fit("ownership table, 90 members, by targets", "kB", sizes)
    fit("computing it", "s", costs)
    print(f"units moved between others when one of 90 goes, %: {after_gone}")


def gossip() -> None:
    points, sent = [], []
    for peers_known in (90, 625, 1_250, 2_500):
        peers = Peers("vm0000", "r0")
        peers.merge((heartbeat(i, f"r{i % 28}") for i in range(peers_known)), 0.0)
        rng = Random(1)
        data = zlib.compress(pack(peers.compose_message(rng, 0.0)), 1)
        sent.append((peers_known, len(data)))

        def round_(p: Peers = peers, r: Random = rng) -> None:
            for _ in range(20):
                message = p.compose_message(r, 0.0)
                p.choose_recipients(r, [])
                zlib.compress(pack(message), 1)

        points.append((peers_known, cpu(round_) / 20 * 1000))
    fit("composing one gossip round, by peers known", "ms", points)
    fit("one gossip message, by peers known", "bytes", sent)
    raw = [
        zlib.compress(
            pack(Gossip([heartbeat(i, seq=n + 1) for i in range(n, n + 6)])), 1
        )
        for n in range(500)
    ]

    known = Peers("vm", "r")
    known.merge((heartbeat(i, seq=0) for i in range(2_500)), 0.0)

    def take(data: Sequence[bytes]) -> None:
        for d in data:
            known.merge(unpack(zlib.decompress(d), Gossip).heartbeats, 0.0)

    taken = [(n, cpu(lambda n=n: take(raw[:n])) * 1000) for n in (125, 250, 375, 500)]  # type: ignore[misc]
    fit("taking a gossip message", "ms", taken)


def spread() -> None:
    """Rounds until a change reaches everybody, partners drawn as agents do."""
    rng = Random(3)
    points = []
    for nodes in (48, 160, 640, 2_500):
        rounds = [_spread_once(nodes, rng) for _ in range(3)]
        points.append((nodes, statistics.mean(rounds)))
    print(f"rounds of gossip until all have a change: {points}")


def _spread_once(nodes: int, rng: Random) -> int:
    """Two random partners a round, one of them in the region, as agents choose."""
    regions = [list(range(r, nodes, 28)) for r in range(min(28, nodes))]
    has = {0}
    rounds = 0
    while len(has) < nodes:
        rounds += 1
        for i in list(has):
            has.add(rng.choice(regions[i % 28]))
            has.add(rng.randrange(nodes))
    return rounds


def request() -> None:
    """Processor time of the decisions of one request, without I/O."""
    from leverdoor.gate.placement import Dispatch
    from leverdoor.gate.queueing import QueuedRequest
    from leverdoor.gate.row_units import HeldUnits
    from leverdoor.gate.scheduler import Scheduler
    from leverdoor.storage.view import DEFAULT_TIER

    points = []
    for targets in (8, 16, 32, 64):
        resources = region_resources(targets)
        view = View(1, {resource_key(r): r for r in resources}, ClientRegionMap({}))
        member = GateProcess("vm0", "g0", 1)
        held = plan(Table("r"), view.specs("r"), [member])
        assert held is not None
        holdings = HeldUnits("g0", 1)
        holdings.apply(held, {}, 0.0)
        scheduler = Scheduler("vm0", "r", holdings, view, Random(1))

        def work(s: Scheduler = scheduler) -> None:
            for _ in range(2_000):
                job = QueuedRequest("s", DEFAULT_TIER, "r", 1.0, 9.0)
                made = s.offer(job, 1.0)
                assert isinstance(made, Dispatch)
                s.done(job, made, 1.0, 5.0, True, 0.0)

        points.append((targets, cpu(work) / 2_000 * 1e6))
    fit("deciding one request, by targets held", "us", points)


def codec() -> None:
    """One configuration change through an agent, without I/O."""
    points = []
    value = serialize_resource(Service(name="s", work=WorkClass.LOOKUP))
    for n in (250, 500, 1_000, 2_000):
        events = [Event(i + 2, f"{RESOURCES}service/s{i}", value) for i in range(n)]

        def work(events: Sequence[Event] = events) -> None:
            state = State()
            for e in events:
                delta = Delta(state.revision, e.revision, False, [e])
                state.apply(unpack(pack(delta), Delta))

        points.append((n, cpu(work) * 1000))
    fit("taking one change into the state", "ms", points)


PARTS: dict[str, Callable[[], None]] = {
    "memory": memory,
    "lookup": lookup,
    "blocks": change_blocks,
    "change": change_target,
    "codec": codec,
    "table": table,
    "gossip": gossip,
    "spread": spread,
    "request": request,
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", default=list(PARTS))
    parser.add_argument("--child", nargs=2, metavar=("NAME", "SIZE"))
    args = parser.parse_args()
    if args.child:
        print(child(args.child[0], int(args.child[1])))
        return
    for name in args.parts:
        PARTS[name]()


if __name__ == "__main__":
    main()
