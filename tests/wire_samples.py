# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One value of each message and stored document, no field at its default.

A class or field that gets another name is changed here and nowhere else in the
tests of the wire; the bytes in `test_wire_bytes.py` stay as they are.
"""

from typing import Any

import msgspec

from leverdoor.agent.api import Change, Item, ItemList, Status
from leverdoor.agent.link import GateReport, Hints
from leverdoor.agent.probing import TargetReport
from leverdoor.agent.reports import (
    DrainLine,
    EntryLine,
    HeadroomLine,
    Report,
    ShiftLine,
)
from leverdoor.entry.exchange import messages
from leverdoor.entry.membership.member import LEAVING, SERVING, DigestRow, Member
from leverdoor.errors import Code, Problem, Run
from leverdoor.gate.idempotency_keys import Key
from leverdoor.gate.lookups import LookupAnswer, LookupEntry
from leverdoor.limits.advertised import LimitAdvertisement
from leverdoor.limits.encoding import serialize_limits
from leverdoor.membership import ownership
from leverdoor.membership.peers import AgentHeartbeat, GateState, Gossip, Load
from leverdoor.model.burn import BurnLine, Counts, Series
from leverdoor.model.probe import Probe
from leverdoor.model.resources import (
    ClientBlocks,
    ClientLimits,
    Drain,
    Region,
    Resource,
    Route,
    Service,
    ServiceLevel,
    ShiftCap,
    Target,
    Tier,
    WorkClass,
    Workspace,
)
from leverdoor.quarantine.notices import Notice, NoticeKind, serialize_notices
from leverdoor.storage.change_log import Superseded
from leverdoor.storage.configuration import Applied, Guard
from leverdoor.storage.retention import RecordFacts, RecordKind, Retained
from leverdoor.storage.state import Delta
from leverdoor.storage.store import Event, KeyValue
from leverdoor.storage.vm_list_client import Vm, VmState


class Sample(msgspec.Struct, frozen=True):
    """A value, and the type by which its receiver parses it."""

    value: Any
    kind: Any


ROWS = [
    DigestRow(0x01020304, 1_700_000_000_000_001, SERVING),
    DigestRow(0xFFFFFFFE, 1_700_000_000_000_002, LEAVING),
]
AGES_S = [0.0, 0.021, 1.0, 60.0]
IDS = [1, 0x01020304, 0xFFFFFFFE]
REGION_TARGETS = {"siliguri": ["t2", "t1", "t3"]}
REGION_COUNTS = {"t1": 3, "t2": 300}
PLANNED = {"ward": 100.0, "police": 50.0, "billing": 10.0}
USE = {"ward": 90, "police": 70_000}

MEMBER = Member(
    name="n1",
    region="siliguri",
    domain="siliguri-a",
    front="10.0.0.1:80",
    gossip="10.0.0.1:7946",
    pull="10.0.0.1:7947",
    incarnation=1_700_000_000_000_001,
    link_mbps=1_000,
)
SHARES = {"look": {"siliguri": 0.75, "kolkata": 0.25}}
ENTRY_HEARTBEAT = messages.EntryHeartbeat(
    member=MEMBER,
    seq=300,
    state=SERVING,
    revision=70_000,
    in_flight={"t1": 3, "t2": 4},
    shares=SHARES,
    outage_age_ms=1_500,
    warm_keys=b"\x01\x02\x03\x04",
    use=b"\x05\x06\x07\x08\x09",
    confirmed_ms=250,
    answer=0x0123456789ABCDEF,
    unserved=True,
    era=3,
    speeds=b"\x0e\x0f\x10\x11\x30\x05",
    admitted_keys={"s1": {"siliguri": 0.5}},
    links_lost=True,
)
DIGEST = messages.Digest(
    sender="n1",
    scope=messages.DigestScope.ALL,
    round_number=301,
    incarnation=1_700_000_000_000_001,
    revision=70_000,
    pull="10.0.0.1:7947",
    views=[
        messages.DomainView(
            domain="siliguri-a",
            hash=0xFEDCBA98,
            rows=b"\x01\x02",
            ages=b"\x00\x02",
            seqs=b"\x2c\x2d",
        )
    ],
    loads=[messages.RegionCounts(region="siliguri", hash=0x89ABCDEF, counts=b"\x03")],
    entries=7,
    shares=SHARES,
    outage_age_ms=1_500,
    warm_keys=b"\x01\x02\x03\x04",
    use=b"\x05\x06\x07\x08\x09",
    use_age_ms=450,
    merged_ms=9_000,
    silent=2,
    confirmed_ms=250,
    answer=0x0123456789ABCDEF,
    unserved=b"\x0a\x0b\x0c\x0d",
    era=3,
    speeds=b"\x0e\x0f\x10\x11\x30\x05",
    admitted_keys={"s1": {"siliguri": 0.5}},
    without_links=b"\x12\x13\x14\x15",
)
NOTICES = [
    Notice(NoticeKind.CRASH, 0x0102030405060708, 1_500, 0xFEDCBA98, 63),
    Notice(NoticeKind.HELD, 0xFFFFFFFFFFFFFFFE, 70_000, span=25),
    Notice(NoticeKind.RELEASED, 1, 0),
]
QUARANTINE_NEWS = messages.QuarantineUpdate("n1", serialize_notices(NOTICES))
NEWS = messages.RevisionAnnouncement(
    revision=70_000,
    pull="10.0.0.1:7947",
    answer=0x0123456789ABCDEF,
    confirmed_ms=250,
    era=3,
)

DELTA = Delta(
    since=69_998,
    revision=70_000,
    full=True,
    events=[
        Event(69_999, "/leverdoor/resources/tier/gold", b'{"kind":"tier"}'),
        Event(70_000, "/leverdoor/resources/drain/d1", None),
    ],
    era=3,
    retained=[
        Retained(
            "op/evacuate/d2",
            None,
            69_000,
            2,
            b"1",
            68_000,
            RecordFacts(RecordKind.SWITCH, 7, leaving=True),
        )
    ],
    base=0x0123456789ABCDEF,
    superseded=[Superseded(69_999, "op/config", 0xFEDCBA9876543210)],
)
ENTRY = KeyValue(key="servers/t1", value=b"{}", revision=70_000, lease=12, era=3)

ACK = ownership.Ack(version=40, overused_rows=["t:10.0.0.9:80"])
LOAD = Load(held=5, free=2, waiting=3, mean_ms=12.5)
GATE_REPORT = GateReport(
    gate="10.0.0.1:80",
    relay="10.0.0.1:81",
    incarnation=1_700_000_000_000_001,
    revision=70_000,
    ack=ACK,
    state=GateState.SERVING,
    loads={"look": LOAD},
    caps={"c:look:kolkata": 6},
    held=["t:10.0.0.9:80"],
    draining={"t1": 2},
    era=3,
)
GATE_HEARTBEAT = AgentHeartbeat(
    vm="vm1",
    region="siliguri",
    domain="siliguri-a",
    gossip="10.0.0.1:7946",
    api="10.0.0.1:7948",
    agent=1_700_000_000_000_003,
    seq=300,
    revision=70_000,
    gate="10.0.0.1:80",
    relay="10.0.0.1:81",
    incarnation=1_700_000_000_000_001,
    gate_revision=69_999,
    ack=ACK,
    state=GateState.LEAVING,
    loads={"look": LOAD},
    caps={"c:look:kolkata": 6},
    departed=["vm8|10.0.0.8:80|1"],
    leaving_vms=["vm9"],
    draining={"t1": 2},
    unserved=True,
    era=3,
    gate_era=2,
)
HINTS = Hints(
    heartbeats=[GATE_HEARTBEAT],
    leaving_vms=["vm9"],
    probes={
        "10.0.0.9:80": Probe(
            ok=True, leaving=True, in_flight=4, taken_at=1234.5, reports=False
        ),
    },
    incarnation_floor=1_700_000_000_000_000,
)

TABLE = ownership.Table(
    region="siliguri",
    version=41,
    next_member=3,
    members={
        1: ownership.GateProcess(
            vm="vm1", gate="10.0.0.1:80", incarnation=17, domain="siliguri-a"
        ),
        2: ownership.GateProcess(
            vm="vm2", gate="10.0.0.2:80", incarnation=18, domain="siliguri-b"
        ),
    },
    rows={
        ownership.slot_row_name("10.0.0.9:80"): ownership.Row(
            capacity=8,
            held={1: 4, 2: 3},
            releases=[ownership.Release(member=2, units=1, version=40)],
        ),
        ownership.cap_row_name("look", "kolkata"): ownership.Row(
            capacity=60,
            held={1: 55},
            releases=[ownership.Release(member=1, units=5, version=41)],
        ),
    },
)
KEY = Key(
    vm="vm1",
    relay="10.0.0.1:81",
    incarnation=1_700_000_000_000_001,
    issued_ms=4_500,
    nonce=b"\x01\x02\x03\x04\x05\x06\x07\x08",
    mac=b"\xf1\xf2\xf3\xf4\xf5\xf6\xf7\xf8\xf9\xfa\xfb\xfc",
)

LIMIT_NEWS = messages.LimitUpdate(
    "n1",
    messages.DigestScope.REGION,
    serialize_limits(
        [LimitAdvertisement(0xFEDCBA98, 3.5, 8.0), LimitAdvertisement(7, None, 9.75)],
        now=10.0,
    ),
)
ROOM_REQUEST = messages.PermitRequest("10.0.0.1:7946", 70_000, 0xFEDCBA98, 3.5, 2, 17)
ROOM_ANSWER = messages.PermitResponse(70_000, False, 280, 1400)

PACKED = {
    "member": Sample(MEMBER, Member),
    "entry heartbeat": Sample(ENTRY_HEARTBEAT, messages.Message),
    "digest": Sample(DIGEST, messages.Message),
    "news": Sample(NEWS, messages.Message),
    "quarantine news": Sample(QUARANTINE_NEWS, messages.Message),
    "limit news": Sample(LIMIT_NEWS, messages.Message),
    "room request": Sample(ROOM_REQUEST, messages.Message),
    "room answer": Sample(ROOM_ANSWER, messages.Message),
    "delta": Sample(DELTA, Delta),
    "stored entry": Sample(ENTRY, KeyValue),
    "gate report": Sample(GATE_REPORT, GateReport),
    "hints": Sample(HINTS, Delta | Hints),
    "gate heartbeat": Sample(GATE_HEARTBEAT, AgentHeartbeat),
    "gossip": Sample(Gossip([GATE_HEARTBEAT]), Gossip),
    "ownership table": Sample(TABLE, ownership.Table),
    "idempotency key": Sample(KEY, Key),
}
"""Messages in MessagePack."""

GUARD = Guard(writes=["a1", "b2"])
RESOURCES: list[Resource] = [
    Region(name="siliguri", domains=["siliguri-a"], latency_ms={"kolkata": 35}),
    Service(
        name="look",
        work=WorkClass.BULK,
        deadline_ms=1_900,
        linger_ms=900,
        queue=65,
        bulk_prefixes=["bulk/"],
        health_path="/health",
        connections=66,
        warmup_per_s=2.5,
    ),
    Target(
        name="t1",
        service="look",
        region="siliguri",
        domain="siliguri-a",
        address="10.0.0.9:80",
        slots=8,
        connections=131,
        vm="vm9",
        warmup_ms=500,
        draining=True,
        cold_ms=600,
    ),
    Tier(name="gold", callers=["ward"], reserve_percent=20, weight=3, default=True),
    ShiftCap(
        name="cap1",
        service="look",
        region="siliguri",
        units=60,
        window_ms=1_000,
        ramp_percent=40,
    ),
    Drain(name="drain1", region="siliguri", domain="siliguri-a", target="t1", vm="vm9"),
    ServiceLevel(
        name="level1", service="look", tier="gold", latency_ms=200, objective=0.95
    ),
    Route(
        name="route1",
        host="records.example",
        prefix="/look/",
        work=WorkClass.ONCE,
        services={"look": 0.75, "look2": 0.25},
        timeout_ms=1_800,
        target_latency_ms=150,
        priority=2,
        attempts=3,
        affinity=True,
        homes=["siliguri"],
        anonymous=True,
    ),
    Workspace(
        name="ward",
        key_digests=["0123456789abcdef" * 4],
        rate_per_s=12.5,
        burst=25.0,
        priority=1,
        homes=["siliguri"],
    ),
    ClientLimits(
        name="limits",
        header_bytes=8_192,
        body_bytes=1_000_000,
        header_timeout_ms=2_900,
        idle_timeout_ms=14_000,
    ),
    ClientBlocks(name="blocks1", networks={"siliguri": ["192.0.2.0/24"]}),
]
"""One resource of every kind."""

RAW_TIER = msgspec.Raw(b'{"kind":"tier","name":"gold"}')
REPORT = Report(
    name="entries",
    revision=70_000,
    entries=2,
    missing=["vm9"],
    lines=[
        EntryLine(
            vm="vm1",
            region="siliguri",
            domain="siliguri-a",
            state="serving",
            gate="10.0.0.1:80",
            revision=70_000,
            held=5,
            age_ms=120,
        ),
        HeadroomLine(
            region="siliguri", service="look", slots=8, held=7, free=2, waiting=3
        ),
        BurnLine(
            service="look",
            tier="gold",
            requests=100,
            availability=0.75,
            p50_ms=12.5,
            p99_ms=99.5,
            level="level1",
            objective=0.95,
            fast_burn=1.5,
            slow_burn=0.5,
        ),
        ShiftLine(service="look", region="kolkata", cap=60, held=55, free=5),
        DrainLine(name="drain1", targets=3, in_flight=2),
    ],
)
DOCUMENTS = {
    "item list": Sample(
        ItemList(
            revision=70_000,
            items=[Item(revision=69_999, resource=RAW_TIER, in_force=1, entries=2)],
            era=3,
        ),
        ItemList,
    ),
    "change": Sample(
        Change(revision=70_000, type="put", key="tier/gold", resource=RAW_TIER, era=3),
        Change,
    ),
    "bookmark": Sample(Change(revision=70_000, type="bookmark"), Change),
    "status": Sample(Status(revision=70_000, in_force=1, entries=2), Status),
    "applied": Sample(Applied(revision=70_000, keys=["tier/gold"]), Applied),
    "problem": Sample(
        Problem(
            code=int(Code.CONFLICT),
            name="CONFLICT",
            detail="overtaken",
            field="name",
            run=Run.MAYBE,
            retry_after_ms=500,
            revision=70_000,
        ),
        Problem,
    ),
    "report": Sample(REPORT, Report),
    "look-up": Sample(
        LookupAnswer(
            service="look",
            home="siliguri",
            entries=[LookupEntry(address="10.0.0.1:80", region="siliguri", weight=6)],
            ttl_ms=2_000,
            key="abc",
        ),
        LookupAnswer,
    ),
    "burn series": Sample(
        [
            Series(
                service="look",
                tier="gold",
                fast=Counts(total=9, answered=8, in_time={"level1": 7}),
                slow=Counts(total=90, answered=80, in_time={"level1": 70}),
                histogram="HISTFAAAAA",
            )
        ],
        list[Series],
    ),
    "target report": Sample(TargetReport(in_flight=4, leaving=True), TargetReport),
    "vm list": Sample([Vm(vm="vm9", state=VmState.LEAVING)], list[Vm]),
}
"""Documents in JSON."""
