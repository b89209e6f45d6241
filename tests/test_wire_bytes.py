# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What goes over the wire and into the store, byte by byte.

The literals were written down once from the running code. A test that fails here
means that processes of two versions cannot read each other's messages, or that
stored data is no longer readable: fix the code, not the literal. The values
are in `wire_samples.py`.
"""

import asyncio
import contextlib
import re
import uuid
import zlib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Mapping
from typing import Any

import msgspec
import pytest
from aiohttp import web

import wire_samples as samples
from bench import Bench, deployment, running, until
from entry_bench import until_in_force
from leverdoor import headers as h
from leverdoor.agent.probing import PROBE_PATH
from leverdoor.answers import problem_answer
from leverdoor.client.operator import Operator
from leverdoor.codec import pack, parse_json, serialize_json, unpack
from leverdoor.entry.admin import AdminServer
from leverdoor.entry.exchange import encoding, messages
from leverdoor.entry.exchange.target_counts import TargetLists
from leverdoor.entry.exchange.use_lists import UseLists
from leverdoor.entry.membership.member import link_rank, member_id
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.settings import EntrySettings
from leverdoor.errors import Code, Refusal
from leverdoor.gate.keys import KeyRing, parse_key, serialize_key
from leverdoor.membership.gossip import GossipSocket
from leverdoor.membership.ownership import parse_table, serialize_table
from leverdoor.model.resources import (
    KINDS,
    ClientLimits,
    Drain,
    Region,
    Route,
    Service,
    Target,
    Tier,
    WorkClass,
    Workspace,
    parse_resource,
    resource_key,
    serialize_resource,
)
from leverdoor.platform.names import wire
from leverdoor.platform.settings import parse_settings
from leverdoor.platform.store import PlatformStore
from leverdoor.settings import Address
from leverdoor.standins.deployments import Deployment, TargetPlan
from leverdoor.standins.entry_process import Place
from leverdoor.standins.entry_site import EntrySite
from leverdoor.storage.configuration import Configuration, Guard
from leverdoor.storage.etcd import EtcdStore
from leverdoor.storage.state import GUARD, PREFIX, RESOURCES, TABLES, Delta, State
from leverdoor.storage.store import (
    Commit,
    Event,
    KeyValue,
    Listing,
    MemoryStore,
    Store,
    Write,
)
from leverdoor.workspaces.quota_bounds import QuotaBounds

PACKED_BYTES: dict[str, bytes] = {
    "member": (
        b"\x98\xa2n1\xa8siliguri\xaasiliguri-a\xab10.0.0.1:80\xad10.0.0.1:7946\xad10.0"
        b".0.1:7947\xcf\x00\x06\x0a$\x18\x1e@\x01\xcd\x03\xe8"
    ),
    "entry heartbeat": (
        b"\x9b\xa1h\x98\xa2n1\xa8siliguri\xaasiliguri-a\xab10.0.0.1:80\xad10.0.0.1:794"
        b"6\xad10.0.0.1:7947\xcf\x00\x06\x0a$\x18\x1e@\x01\xcd\x03\xe8\xcd\x01,\x01"
        b"\xce\x00\x01\x11p\x82\xa2t1\x03\xa2t2\x04\x81\xa4look\x82\xa8siliguri\xcb?"
        b"\xe8\x00\x00\x00\x00\x00\x00\xa7kolkata\xcb?\xd0\x00\x00\x00\x00\x00\x00\xcd"
        b"\x05\xdc\xc4\x04\x01\x02\x03\x04\xc4\x05\x05\x06\x07\x08\x09\xcc\xfa"
    ),
    "digest": (
        b"\xdc\x00\x12\xa1d\xa2n1\x02\xcd\x01-\xcf\x00\x06\x0a$\x18\x1e@\x01\xce\x00"
        b"\x01\x11p\xad10.0.0.1:7947\x91\x95\xaasiliguri-a\xce\xfe\xdc\xba\x98\xc4\x02"
        b"\x01\x02\xc4\x02\x00\x02\xc4\x02,-\x91\x93\xa8siliguri\xce\x89\xab\xcd\xef"
        b"\xc4\x01\x03\x07\x81\xa4look\x82\xa8siliguri\xcb?\xe8\x00\x00\x00\x00\x00"
        b"\x00\xa7kolkata\xcb?\xd0\x00\x00\x00\x00\x00\x00\xcd\x05\xdc\xc4\x04\x01\x02"
        b"\x03\x04\xc4\x05\x05\x06\x07\x08\x09\xcd\x01\xc2\xcd#(\x02\xcc\xfa"
    ),
    "news": b"\x93\xa1n\xce\x00\x01\x11p\xad10.0.0.1:7947",
    "quarantine news": (
        b"\x93\xa1q\xa2n1\xc49\x00\x08\x07\x06\x05\x04\x03\x02\x01"
        b"\x98\xba\xdc\xfe\xdc\x05\x00\x00?\x00\x01\xfe\xff\xff\xff\xff\xff"
        b"\xff\xff\x00\x00\x00\x00p\x11\x01\x00\x19\x00\x02\x01\x00\x00\x00"
        b"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
    ),
    "delta": (
        b"\x85\xa4type\xa5Delta\xa5since\xce\x00\x01\x11n\xa8revision\xce\x00\x01\x11p"
        b"\xa4full\xc3\xa6events\x92\x93\xce\x00\x01\x11o\xbe/leverdoor/resources/tier"
        b'/gold\xc4\x0f{"kind":"tier"}\x93\xce\x00\x01\x11p\xbd/leverdoor/resource'
        b"s/drain/d1\xc0"
    ),
    "stored entry": b"\x94\xaaservers/t1\xc4\x02{}\xce\x00\x01\x11p\x0c",
    "gate report": (
        b"\x8b\xa4type\xaaGateReport\xa4gate\xab10.0.0.1:80\xa5relay\xab10.0.0.1:81"
        b"\xabincarnation\xcf\x00\x06\x0a$\x18\x1e@\x01\xa8revision\xce\x00\x01\x11p"
        b"\xa3ack\x92(\x91\xadt:10.0.0.9:80\xa5state\xa7serving\xa5loads\x81\xa4look"
        b"\x94\x05\x02\x03\xcb@)\x00\x00\x00\x00\x00\x00\xa4caps\x81\xaec:look:kolkata"
        b"\x06\xa4held\x91\xadt:10.0.0.9:80\xa8draining\x81\xa2t1\x02"
    ),
    "hints": (
        b"\x85\xa4type\xa5Hints\xaaheartbeats\x91\xdc\x00\x13\xa3vm1\xa8siliguri\xaasi"
        b"liguri-a\xad10.0.0.1:7946\xad10.0.0.1:7948\xcf\x00\x06\x0a$\x18\x1e@\x03\xcd"
        b"\x01,\xce\x00\x01\x11p\xab10.0.0.1:80\xab10.0.0.1:81\xcf\x00\x06\x0a$\x18"
        b"\x1e@\x01\xce\x00\x01\x11o\x92(\x91\xadt:10.0.0.9:80\xa7leaving\x81\xa4look"
        b"\x94\x05\x02\x03\xcb@)\x00\x00\x00\x00\x00\x00\x81\xaec:look:kolkata\x06\x91"
        b"\xb1vm8|10.0.0.8:80|1\x91\xa3vm9\x81\xa2t1\x02\xableaving_vms\x91\xa3vm9\xa6"
        b"probes\x81\xab10.0.0.9:80\x94\xc3\xc3\x04\xcb@\x93J\x00\x00\x00\x00\x00\xb1i"
        b"ncarnation_floor\xcf\x00\x06\x0a$\x18\x1e@\x00"
    ),
    "gate heartbeat": (
        b"\xdc\x00\x13\xa3vm1\xa8siliguri\xaasiliguri-a\xad10.0.0.1:7946\xad10.0.0.1:7"
        b"948\xcf\x00\x06\x0a$\x18\x1e@\x03\xcd\x01,\xce\x00\x01\x11p\xab10.0.0.1:80"
        b"\xab10.0.0.1:81\xcf\x00\x06\x0a$\x18\x1e@\x01\xce\x00\x01\x11o\x92(\x91\xadt"
        b":10.0.0.9:80\xa7leaving\x81\xa4look\x94\x05\x02\x03\xcb@)\x00\x00\x00\x00"
        b"\x00\x00\x81\xaec:look:kolkata\x06\x91\xb1vm8|10.0.0.8:80|1\x91\xa3vm9\x81"
        b"\xa2t1\x02"
    ),
    "gossip": (
        b"\x91\x91\xdc\x00\x13\xa3vm1\xa8siliguri\xaasiliguri-a\xad10.0.0.1:7946\xad10"
        b".0.0.1:7948\xcf\x00\x06\x0a$\x18\x1e@\x03\xcd\x01,\xce\x00\x01\x11p\xab10.0."
        b"0.1:80\xab10.0.0.1:81\xcf\x00\x06\x0a$\x18\x1e@\x01\xce\x00\x01\x11o\x92("
        b"\x91\xadt:10.0.0.9:80\xa7leaving\x81\xa4look\x94\x05\x02\x03\xcb@)\x00\x00"
        b"\x00\x00\x00\x00\x81\xaec:look:kolkata\x06\x91\xb1vm8|10.0.0.8:80|1\x91\xa3v"
        b"m9\x81\xa2t1\x02"
    ),
    "ownership table": (
        b"\x85\xa6region\xa8siliguri\xa7version)\xabnext_member\x03\xa7members\x82\x01"
        b"\x94\xa3vm1\xab10.0.0.1:80\x11\xaasiliguri-a\x02\x94\xa3vm2\xab10.0.0.2:80"
        b"\x12\xaasiliguri-b\xa4rows\x82\xadt:10.0.0.9:80\x93\x08\x82\x01\x04\x02\x03"
        b"\x91\x93\x02\x01(\xaec:look:kolkata\x93<\x81\x017\x91\x93\x01\x05)"
    ),
    "idempotency key": (
        b"\x96\xa3vm1\xab10.0.0.1:81\xcf\x00\x06\x0a$\x18\x1e@\x01\xcd\x11\x94\xc4\x08"
        b"\x01\x02\x03\x04\x05\x06\x07\x08\xc4\x0c\xf1\xf2\xf3\xf4\xf5\xf6\xf7\xf8\xf9"
        b"\xfa\xfb\xfc"
    ),
}
RESOURCE_BYTES: dict[str, bytes] = {
    "region/siliguri": (
        b'{"kind":"region","name":"siliguri","domains":["siliguri-a"],"la'
        b'tency_ms":{"kolkata":35}}'
    ),
    "service/look": (
        b'{"kind":"service","name":"look","work":"bulk","deadline_ms":19'
        b'00,"linger_ms":900,"queue":65,"bulk_prefixes":["bulk/"],"health_pat'
        b'h":"/health","connections":66,"warmup_per_s":2.5}'
    ),
    "target/t1": (
        b'{"kind":"target","name":"t1","service":"look","region":"silig'
        b'uri","domain":"siliguri-a","address":"10.0.0.9:80","slots":8,"co'
        b'nnections":131,"vm":"vm9","warmup_ms":500,"draining":true,"cold_ms'
        b'":600}'
    ),
    "tier/gold": (
        b'{"kind":"tier","name":"gold","callers":["ward"],"reserve_percen'
        b't":20,"weight":3,"default":true}'
    ),
    "shiftcap/cap1": (
        b'{"kind":"shiftcap","name":"cap1","service":"look","region":"s'
        b'iliguri","units":60,"window_ms":1000,"ramp_percent":40}'
    ),
    "drain/drain1": (
        b'{"kind":"drain","name":"drain1","region":"siliguri","domain":'
        b'"siliguri-a","target":"t1","vm":"vm9"}'
    ),
    "servicelevel/level1": (
        b'{"kind":"servicelevel","name":"level1","service":"look","tier"'
        b':"gold","latency_ms":200,"objective":0.95}'
    ),
    "route/route1": (
        b'{"kind":"route","name":"route1","host":"records.example","prefi'
        b'x":"/look/","work":"once","services":{"look":0.75,"look2":0.25}'
        b',"timeout_ms":1800,"target_latency_ms":150,"priority":2,"attempts":3'
        b',"affinity":true,"homes":["siliguri"],"anonymous":true}'
    ),
    "workspace/ward": (
        b'{"kind":"workspace","name":"ward","key_digests":["0123456789abcde'
        b'f0123456789abcdef0123456789abcdef0123456789abcdef"],"rate_per_s":12.5,"b'
        b'urst":25.0,"priority":1,"homes":["siliguri"]}'
    ),
    "clientlimits/limits": (
        b'{"kind":"clientlimits","name":"limits","header_bytes":8192,"body_'
        b'bytes":1000000,"header_timeout_ms":2900,"idle_timeout_ms":14000}'
    ),
    "clientblocks/blocks1": (
        b'{"kind":"clientblocks","name":"blocks1","networks":{"siliguri":['
        b'"192.0.2.0/24"]}}'
    ),
}

DOCUMENT_BYTES: dict[str, bytes] = {
    "item list": (
        b'{"revision":70000,"items":[{"revision":69999,"resource":{"kind":"'
        b'tier","name":"gold"},"in_force":1,"entries":2}]}'
    ),
    "change": (
        b'{"revision":70000,"type":"put","key":"tier/gold","resource":{"k'
        b'ind":"tier","name":"gold"}}'
    ),
    "bookmark": b'{"revision":70000,"type":"bookmark"}',
    "status": b'{"revision":70000,"in_force":1,"entries":2}',
    "applied": b'{"revision":70000,"keys":["tier/gold"]}',
    "problem": (
        b'{"code":1006,"name":"CONFLICT","detail":"overtaken","field":"na'
        b'me","run":"maybe","retry_after_ms":500,"revision":70000}'
    ),
    "report": (
        b'{"name":"entries","revision":70000,"entries":2,"missing":["vm9"]'
        b',"lines":[{"type":"EntryLine","vm":"vm1","region":"siliguri",'
        b'"domain":"siliguri-a","state":"serving","gate":"10.0.0.1:80","r'
        b'evision":70000,"held":5,"age_ms":120},{"type":"HeadroomLine","regi'
        b'on":"siliguri","service":"look","slots":8,"held":7,"free":2,"w'
        b'aiting":3},{"type":"BurnLine","service":"look","tier":"gold","'
        b'requests":100,"availability":0.75,"p50_ms":12.5,"p99_ms":99.5,"level'
        b'":"level1","objective":0.95,"fast_burn":1.5,"slow_burn":0.5},{"typ'
        b'e":"ShiftLine","service":"look","region":"kolkata","cap":60,"h'
        b'eld":55,"free":5},{"type":"DrainLine","name":"drain1","targets"'
        b':3,"in_flight":2}]}'
    ),
    "look-up": (
        b'{"service":"look","home":"siliguri","entries":[{"address":"10.0'
        b'.0.1:80","region":"siliguri","weight":6}],"ttl_ms":2000,"key":"a'
        b'bc"}'
    ),
    "burn series": (
        b'[{"service":"look","tier":"gold","fast":[9,8,{"level1":7}],"slo'
        b'w":[90,80,{"level1":70}],"histogram":"HISTFAAAAA"}]'
    ),
    "target report": b'{"in_flight":4,"leaving":true}',
    "vm list": b'[{"vm":"vm9","state":"leaving"}]',
}

DEFAULT_BYTES: dict[str, bytes] = {
    "member": (
        b"\x98\xa2n1\xa8siliguri\xaasiliguri-a\xab10.0.0.1:80\xad10.0.0.1:7946\xad10.0"
        b".0.1:7947\xcf\x00\x06\x0a$\x18\x1e@\x01\x00"
    ),
    "entry heartbeat": (
        b"\x9b\xa1h\x98\xa2n1\xa8siliguri\xaasiliguri-a\xab10.0.0.1:80\xad10.0.0.1:794"
        b"6\xad10.0.0.1:7947\xcf\x00\x06\x0a$\x18\x1e@\x01\xcd\x03\xe8\xcd\x01,\x01"
        b"\xce\x00\x01\x11p\x80\x80\xff\xc4\x00\xc4\x00\xff"
    ),
    "digest": (
        b"\xdc\x00\x12\xa1d\xa2n1\x02\xcd\x01-\xcf\x00\x06\x0a$\x18\x1e@\x01\xce\x00"
        b"\x01\x11p\xad10.0.0.1:7947\x91\x95\xaasiliguri-a\xce\xfe\xdc\xba\x98\xc4\x02"
        b"\x01\x02\xc4\x02\x00\x02\xc4\x02,-\x91\x93\xa8siliguri\xce\x89\xab\xcd\xef"
        b"\xc4\x01\x03\x01\x80\xff\xc4\x00\xc4\x00\x00\x00\x00\xff"
    ),
    "stored entry": b"\x94\xaaservers/t1\xc4\x02{}\xce\x00\x01\x11p\x00",
    "gate report": (
        b"\x8b\xa4type\xaaGateReport\xa4gate\xab10.0.0.1:80\xa5relay\xab10.0.0.1:81"
        b"\xabincarnation\xcf\x00\x06\x0a$\x18\x1e@\x01\xa8revision\xce\x00\x01\x11p"
        b"\xa3ack\x92(\x91\xadt:10.0.0.9:80\xa5state\xa7serving\xa5loads\x81\xa4look"
        b"\x94\x05\x02\x03\xcb@)\x00\x00\x00\x00\x00\x00\xa4caps\x81\xaec:look:kolkata"
        b"\x06\xa4held\x91\xadt:10.0.0.9:80\xa8draining\x80"
    ),
    "hints": (
        b"\x85\xa4type\xa5Hints\xaaheartbeats\x91\xdc\x00\x13\xa3vm1\xa8siliguri\xaasi"
        b"liguri-a\xad10.0.0.1:7946\xad10.0.0.1:7948\xcf\x00\x06\x0a$\x18\x1e@\x03\xcd"
        b"\x01,\xce\x00\x01\x11p\xab10.0.0.1:80\xab10.0.0.1:81\xcf\x00\x06\x0a$\x18"
        b"\x1e@\x01\xce\x00\x01\x11o\x92(\x91\xadt:10.0.0.9:80\xa7leaving\x81\xa4look"
        b"\x94\x05\x02\x03\xcb@)\x00\x00\x00\x00\x00\x00\x81\xaec:look:kolkata\x06\x91"
        b"\xb1vm8|10.0.0.8:80|1\x91\xa3vm9\x81\xa2t1\x02\xableaving_vms\x91\xa3vm9\xa6"
        b"probes\x81\xab10.0.0.9:80\x94\xc3\xc3\x04\xcb@\x93J\x00\x00\x00\x00\x00\xb1i"
        b"ncarnation_floor\x00"
    ),
    "gate heartbeat": (
        b"\xdc\x00\x13\xa3vm1\xa8siliguri\xaasiliguri-a\xad10.0.0.1:7946\xad10.0.0.1:7"
        b"948\xcf\x00\x06\x0a$\x18\x1e@\x03\xcd\x01,\x00\xa0\xa0\x00\x00\x92\x00\x90"
        b"\xa4none\x80\x80\x90\x90\x80"
    ),
    "ownership table": (
        b"\x85\xa6region\xa8siliguri\xa7version\x00\xabnext_member\x01\xa7members\x80"
        b"\xa4rows\x80"
    ),
    "idempotency key": (
        b"\x96\xa3vm1\xab10.0.0.1:81\xcf\x00\x06\x0a$\x18\x1e@\x01\xcd\x11\x94\xc4\x08"
        b"\x01\x02\x03\x04\x05\x06\x07\x08\xc4\x00"
    ),
    "change": b'{"revision":70000,"type":"put"}',
    "bookmark": b'{"revision":70000,"type":"bookmark"}',
    "problem": b'{"code":1006,"name":"CONFLICT","detail":"overtaken"}',
    "look-up": (
        b'{"service":"look","home":"siliguri","entries":[{"address":"10.0'
        b'.0.1:80","region":"siliguri","weight":6}],"ttl_ms":2000,"key":"'
        b'"}'
    ),
    "target report": b'{"in_flight":0,"leaving":false}',
    "region/siliguri": (
        b'{"kind":"region","name":"siliguri","domains":["siliguri-a"],"latency_ms":{}}'
    ),
    "service/look": (
        b'{"kind":"service","name":"look","work":"bulk","deadline_ms":20'
        b'00,"linger_ms":1000,"queue":64,"bulk_prefixes":[],"health_path":""'
        b',"connections":0,"warmup_per_s":0.0}'
    ),
    "target/t1": (
        b'{"kind":"target","name":"t1","service":"look","region":"silig'
        b'uri","domain":"siliguri-a","address":"10.0.0.9:80","slots":8,"co'
        b'nnections":130,"vm":"","warmup_ms":0,"draining":false,"cold_ms":0'
        b"}"
    ),
    "tier/gold": (
        b'{"kind":"tier","name":"gold","callers":[],"reserve_percent":0,"'
        b'weight":1,"default":false}'
    ),
    "shiftcap/cap1": (
        b'{"kind":"shiftcap","name":"cap1","service":"look","region":"s'
        b'iliguri","units":60,"window_ms":1000,"ramp_percent":50}'
    ),
    "drain/drain1": (
        b'{"kind":"drain","name":"drain1","region":"","domain":"","target":"","vm":""}'
    ),
    "route/route1": (
        b'{"kind":"route","name":"route1","host":"records.example","prefi'
        b'x":"/look/","work":"once","services":{"look":0.75,"look2":0.25}'
        b',"timeout_ms":0,"target_latency_ms":0,"priority":0,"attempts":1,"af'
        b'finity":false,"homes":[],"anonymous":false}'
    ),
    "workspace/ward": (
        b'{"kind":"workspace","name":"ward","key_digests":[],"rate_per_s":'
        b'0.0,"burst":0.0,"priority":null,"homes":[]}'
    ),
    "clientlimits/limits": (
        b'{"kind":"clientlimits","name":"limits","header_bytes":16384,"body'
        b'_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}'
    ),
}
"""The same values with only the fields that a sender must write."""


def structs_in(value: Any) -> Iterator[msgspec.Struct]:
    """Yield the structs that a value consists of."""
    if isinstance(value, msgspec.Struct):
        yield value
        for name in value.__struct_fields__:
            yield from structs_in(getattr(value, name))
    elif isinstance(value, Mapping):
        for part in value.values():
            yield from structs_in(part)
    elif isinstance(value, list):
        for part in value:
            yield from structs_in(part)


def fields_at_default(value: Any) -> list[str]:
    """Return the fields that a changed default, or a lost field, would not show."""
    found = []
    for struct in structs_in(value):
        for field in msgspec.structs.fields(type(struct)):
            default = field.default
            if field.default_factory is not msgspec.NODEFAULT:
                default = field.default_factory()
            if getattr(struct, field.name) == default:
                found.append(f"{type(struct).__name__}.{field.name}")
    return found


# MessagePack between processes.


def test_every_packed_message_has_its_bytes() -> None:
    assert PACKED_BYTES.keys() == samples.PACKED.keys()


@pytest.mark.parametrize("name", PACKED_BYTES)
def test_packed_message(name: str) -> None:
    sample, data = samples.PACKED[name], PACKED_BYTES[name]
    assert not fields_at_default(sample.value)
    assert pack(sample.value) == data
    parsed = unpack(data, sample.kind)
    assert parsed == sample.value
    assert pack(parsed) == data


def test_rows_of_entries() -> None:
    data = (
        b"\x04\x03\x02\x01\x01@\x1e\x18$\x0a\x06\x00\x01"
        b"\xfe\xff\xff\xff\x02@\x1e\x18$\x0a\x06\x00\x02"
    )
    assert encoding.serialize_rows(samples.ROWS) == data
    assert encoding.parse_rows(data) == samples.ROWS
    assert encoding.rows_hash(data) == 1953574800


def test_ages_of_entries() -> None:
    """In steps of 20 ms, rounded up."""
    assert encoding.serialize_ages(samples.AGES_S) == b"\x00\x022\xff"
    assert encoding.AGE_STEP_S == 0.02


def test_ids() -> None:
    data = b"\x01\x00\x00\x00\x04\x03\x02\x01\xfe\xff\xff\xff"
    assert encoding.serialize_ids(samples.IDS) == data
    assert encoding.parse_ids(data) == samples.IDS


def test_identity_and_order_of_entries() -> None:
    assert member_id("n1") == 2867198912
    assert link_rank(samples.MEMBER) == (-1000, 15506916534570490772)


def test_counts_of_a_region() -> None:
    """One byte a target, by name; 255 is the most."""
    lists = TargetLists()
    lists.renew(samples.REGION_TARGETS)
    counts = messages.RegionCounts("siliguri", 3305339154, b"\x03\xff\x00")
    assert lists.serialize("siliguri", samples.REGION_COUNTS) == counts
    assert lists.parse(counts) == {"t1": 3, "t2": 255}


def test_use_of_quotas() -> None:
    """Pairs of place and count; 65,535 is the most."""
    lists = UseLists()
    lists.renew(samples.PLANNED)
    data = b"\xaaiE\xca\x00\x02\x00Z\x00\x01\x00\xff\xff"
    assert lists.serialize(samples.USE, 20) == data
    assert lists.parse(data) == {"ward": 90, "police": 65_535}


class RecordingTransport(asyncio.DatagramTransport):
    """Keeps the datagrams that are sent."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[tuple[bytes, Any]] = []

    def sendto(self, data: Any, addr: Any = None) -> None:
        self.sent.append((bytes(data), addr))

    def is_closing(self) -> bool:
        return False


NEWS_DATAGRAM = (
    b"x\x01\x9b\xbc0\xef\x1c\x03\xa3`\xc1ZC\x03=\x104\xb42\xb741\x07\x00T[\x061"
)
"""The news as sent; another build of zlib may compress to other bytes."""


async def test_datagram_sent() -> None:
    """A zlib stream of the fastest level around the packed message."""
    socket: GossipSocket[Any] = GossipSocket(messages.Message, lambda _: None)
    transport = socket._transport = RecordingTransport()
    socket.send(samples.NEWS, "10.0.0.2:7946")
    [(data, to)] = transport.sent
    assert to == ("10.0.0.2", 7946)
    assert data[:2] == NEWS_DATAGRAM[:2]
    assert zlib.decompress(data) == PACKED_BYTES["news"]


def test_datagram_received() -> None:
    taken: list[Any] = []
    socket: GossipSocket[Any] = GossipSocket(messages.Message, taken.append)
    socket.datagram_received(NEWS_DATAGRAM, ("10.0.0.2", 7946))
    assert taken == [samples.NEWS]


def test_snapshot_and_delta_of_a_state() -> None:
    """What a pull gets: everything, or what changed since."""
    state = State()
    tier = Event(4, "/leverdoor/resources/tier/gold", b"{}")
    state.apply(Delta(0, 5, True, [tier, Event(5, "/leverdoor/guard", b"{}")]))
    state.extend([Event(6, "/leverdoor/guard", None)])
    assert pack(state.delta(5)) == (
        b"\x85\xa4type\xa5Delta\xa5since\x05\xa8revision\x06\xa4full\xc2\xa6events\x91"
        b"\x93\x06\xb0/leverdoor/guard\xc0"
    )
    assert pack(state.delta(0)) == (
        b"\x85\xa4type\xa5Delta\xa5since\x00\xa8revision\x06\xa4full\xc3\xa6events\x91"
        b"\x93\x04\xbe/leverdoor/resources/tier/gold\xc4\x02{}"
    )


# Documents in the store.


def test_keys_of_the_store() -> None:
    assert PREFIX == "/leverdoor/"
    assert GUARD == "/leverdoor/guard"
    assert RESOURCES == "/leverdoor/resources/"
    assert TABLES == "/leverdoor/tables/"
    assert wire({}).peer_key("n1") == "leverdoor/entries/n1"


def test_ownership_table() -> None:
    data = PACKED_BYTES["ownership table"]
    assert serialize_table(samples.TABLE) == data
    assert parse_table(data) == samples.TABLE
    assert serialize_table(parse_table(data)) == data


def test_guard() -> None:
    data = b'{"writes":["a1","b2"]}'
    assert serialize_json(samples.GUARD) == data
    assert parse_json(data, Guard) == samples.GUARD
    assert msgspec.json.encode(parse_json(data, Guard)) == data


def test_every_kind_of_resource_has_its_bytes() -> None:
    assert [resource_key(r) for r in samples.RESOURCES] == list(RESOURCE_BYTES)
    assert [key.split("/")[0] for key in RESOURCE_BYTES] == list(KINDS)


@pytest.mark.parametrize(
    "resource", samples.RESOURCES, ids=[resource_key(r) for r in samples.RESOURCES]
)
def test_resource(resource: Any) -> None:
    data = RESOURCE_BYTES[resource_key(resource)]
    assert not fields_at_default(resource)
    assert serialize_resource(resource) == data
    assert parse_resource(data) == resource
    assert serialize_resource(parse_resource(data)) == data


async def test_documents_of_one_configuration_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A resource as JSON, and the guard that names the write."""
    monkeypatch.setattr(uuid, "uuid4", lambda: uuid.UUID(int=0xABC))
    store = MemoryStore()
    tier = Tier(name="gold", weight=3)
    applied = await Configuration(store, State()).apply([tier])
    assert applied.unwrap().keys == ["tier/gold"]
    listing = await store.read("")
    assert {e.key: e.value for e in listing.entries} == {
        "/leverdoor/guard": b'{"writes":["00000000000000000000000000000abc"]}',
        "/leverdoor/resources/tier/gold": (
            b'{"kind":"tier","name":"gold","callers":[],"reserve_percent":0,'
            b'"weight":3,"default":false}'
        ),
    }


# Idempotency keys of gates.


def test_serialized_key() -> None:
    text = "lqN2bTGrMTAuMC4wLjE6ODHPAAYKJBgeQAHNEZTECAECAwQFBgcIxAzx8vP09fb3-Pn6-_w"
    assert serialize_key(samples.KEY) == text
    assert parse_key(text) == samples.KEY
    assert serialize_key(parse_key(text)) == text


def test_issued_key() -> None:
    ring = KeyRing("vm1", "10.0.0.1:81", 17, b"secret", 100.0)
    text = "lqN2bTGrMTAuMC4wLjE6ODERzRGUxAgBAQEBAQEBAcQMAOhyGGfmgW3X7QCx"
    assert ring.issue(b"\x01" * 8, 104.5) == text
    assert ring.mine(parse_key(text))


# JSON towards people, callers and the platform.


def test_every_document_has_its_bytes() -> None:
    assert DOCUMENT_BYTES.keys() == samples.DOCUMENTS.keys()


@pytest.mark.parametrize("name", DOCUMENT_BYTES)
def test_document(name: str) -> None:
    sample, data = samples.DOCUMENTS[name], DOCUMENT_BYTES[name]
    assert name == "bookmark" or not fields_at_default(sample.value)
    assert serialize_json(sample.value) == data
    parsed = parse_json(data, sample.kind)
    assert parsed == sample.value
    assert serialize_json(parsed) == data


# Defaults of fields that a sender may leave out.


def required_only(value: Any) -> Any:
    """Return a struct with the defaults in all fields that have one."""
    fields = msgspec.structs.fields(type(value))
    given = {f.name: getattr(value, f.name) for f in fields if f.required}
    return type(value)(**given)


def samples_by_name() -> dict[str, Any]:
    """Return the value of each message, document and resource."""
    found = {name: s.value for name, s in samples.PACKED.items()}
    found |= {name: s.value for name, s in samples.DOCUMENTS.items()}
    return found | {resource_key(r): r for r in samples.RESOURCES}


@pytest.mark.parametrize("name", DEFAULT_BYTES)
def test_defaults(name: str) -> None:
    """They are what an older sender, or an operator who names no value, means."""
    encode = pack if name in PACKED_BYTES else serialize_json
    assert encode(required_only(samples_by_name()[name])) == DEFAULT_BYTES[name]


# The platform's formats.

PLATFORM_ENTRIES = {
    "op/config": b"""{
        "version": "0000000c",
        "routes": [{
            "name": "r-1", "host": "h.example", "path-prefix": "/p/",
            "kind": "safe", "timeout-ms": 2500, "target-latency-ms": 600,
            "priority": 1, "service": "s1",
            "traffic-split": [{"service": "s2", "weight": 10}],
            "max-attempts": 2, "session-affinity": true,
            "home-regions": ["a"], "allow-anonymous": true, "unknown": 1
        }],
        "services": [{
            "name": "s1", "health-check-path": "/health",
            "connection-limit": 390, "warmup-per-s": 11.5
        }],
        "limits": {
            "max-header-bytes": 8192, "max-body-bytes": 1000,
            "header-timeout-ms": 2900, "idle-timeout-ms": 14000
        },
        "tenants": [{
            "name": "w1", "api-keys": ["key"], "priority": 2,
            "rate-per-s": 12.5, "burst": 25, "home-regions": ["b"]
        }]
    }""",
    "servers/i-1": b"""{
        "service": "s1", "address": "10.0.0.9:80", "zone": "a2", "slots": 9,
        "state": "draining", "cold-remaining-ms": 900, "version": "v1"
    }""",
    "op/evacuate/b1": b"{}",
    "leverdoor/entries/n1": b"\x01",
}
PLATFORM_RESOURCES = [
    Region(name="a", domains=["a1", "a2"]),
    Region(name="b", domains=["b1"]),
    Route(
        name="r-1",
        host="h.example",
        prefix="/p/",
        work=WorkClass.LOOKUP,
        services={"s1": 1.0, "s2": 10.0},
        timeout_ms=2_500,
        target_latency_ms=600,
        priority=1,
        attempts=2,
        affinity=True,
        homes=["a"],
        anonymous=True,
    ),
    Service(
        name="s1",
        work=WorkClass.ONCE,
        health_path="/health",
        connections=390,
        warmup_per_s=11.5,
    ),
    Workspace(
        name="w1",
        key_digests=[
            "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"
        ],
        rate_per_s=12.5,
        burst=25.0,
        priority=2,
        homes=["b"],
    ),
    ClientLimits(
        name="limits",
        header_bytes=8_192,
        body_bytes=1_000,
        header_timeout_ms=2_900,
        idle_timeout_ms=14_000,
    ),
    Drain(name="b1", domain="b1"),
    Target(
        name="i-1",
        service="s1",
        region="a",
        domain="a2",
        address="10.0.0.9:80",
        slots=9,
        draining=True,
        cold_ms=900,
    ),
]


def test_platform_documents() -> None:
    """Each kind of document in the platform's store, with every field."""
    entries = {
        key: KeyValue(key, data, revision)
        for revision, (key, data) in enumerate(PLATFORM_ENTRIES.items(), 2)
    }
    configured = wire({"a1": "a", "a2": "a", "b1": "b"}).translate(entries)
    assert configured.version == "0000000c"
    assert configured.resources == PLATFORM_RESOURCES
    assert configured.peers == {"n1": b"\x01"}


def test_platform_headers_and_paths() -> None:
    speech = wire({})
    assert list(msgspec.structs.asdict(speech.headers).values()) == [
        "x-request-id",
        "x-deadline-ms",
        "x-affinity-key",
        "x-expect-instance",
        "x-server-stamp",
        "x-not-executed",
        "x-server-load",
        "x-credential",
        "x-tenant",
    ]
    assert (speech.ready_path, speech.resolve_path) == (
        "/api/readiness",
        "/api/resolve",
    )
    query = {"name": "h.example", "region": "a", "zone": "a1"}
    assert speech.parse_resolve(query) == ("h.example", "a", "a1")
    assert speech.serialize_resolve(["10.0.0.1:80"], 1.5) == (
        b'{"addresses":["10.0.0.1:80"],"ttl-s":1.5}'
    )
    load = speech.parse_load("5,2,8")
    assert load is not None
    assert msgspec.structs.astuple(load) == (4, 2, 8)


PLATFORM_SETTINGS = b"""{
    "node-name": "n1", "ip-address": "10.0.0.1", "zone": "a1", "region": "a",
    "zones": {"a1": "a"}, "bootstrap": true, "internal-port-range": [7200, 7215],
    "listen-addresses": {
        "frontend": "10.0.0.1:8381", "ready": "10.0.0.1:8388",
        "directory": "10.0.0.1:8383"
    },
    "platform": {"address": "10.9.9.9:8384", "writes_per_s": 300},
    "limits": {"link-bandwidth-mbps": 1000},
    "bounds": {
        "grace-period-s": 7, "drain-ms": 2400, "retry-budget-ratio": 0.3,
        "ttl_max_s": 1.5, "max-shift": 0.1, "quota-window-s": 4,
        "quota-overshoot": 0.2, "quota-slack": 15, "strict-revocation": true,
        "revocation-ms": 4500
    }
}"""
ENTRY_SETTINGS = EntrySettings(
    name="n1",
    region="a",
    domain="a1",
    domains={"a1": "a"},
    front=Address("10.0.0.1", 8381),
    ready=Address("10.0.0.1", 8388),
    directory=Address("10.0.0.1", 8383),
    gossip=Address("10.0.0.1", 7200),
    pull=Address("10.0.0.1", 7201),
    metrics=Address("10.0.0.1", 9464),
    lookup_ttl_s=1.5,
    grace_s=7.0,
    leave_s=2.4,
    repeat_ratio=0.3,
    max_shift=0.1,
    link_mbps=1_000,
    store_writes_per_s=300.0,
    quotas=QuotaBounds(4.0, 0.2, 15.0),
    confirm_within_s=4.5,
    first_start=True,
)


def test_platform_settings() -> None:
    settings = parse_settings(PLATFORM_SETTINGS)
    assert settings.entry() == ENTRY_SETTINGS
    assert settings.platform.address == "10.9.9.9:8384"


def test_defaults_of_platform_settings() -> None:
    required = parse_json(PLATFORM_SETTINGS, dict[str, Any])
    for name in ("bootstrap", "limits", "bounds"):
        del required[name]
    del required["platform"]["writes_per_s"]
    entry = parse_settings(serialize_json(required)).entry()
    assert entry == msgspec.structs.replace(
        ENTRY_SETTINGS,
        lookup_ttl_s=2.0,
        grace_s=6.0,
        leave_s=2.5,
        repeat_ratio=0.2,
        max_shift=0.15,
        link_mbps=0,
        store_writes_per_s=400.0,
        quotas=QuotaBounds(5.0, 0.1, 20.0),
        confirm_within_s=0.0,
        first_start=False,
    )


def test_defaults_of_platform_documents() -> None:
    config = b"""{
        "version": "1",
        "routes": [{"name": "r", "host": "h", "path-prefix": "/", "kind": "?"}],
        "services": [{"name": "s"}],
        "tenants": [{"name": "w"}]
    }"""
    server = b'{"service": "s", "address": "10.0.0.9:80", "zone": "a1"}'
    entries = {
        "op/config": KeyValue("op/config", config, 2),
        "servers/i-1": KeyValue("servers/i-1", server, 3),
    }
    assert wire({}).translate(entries).resources == [
        Route(name="r", host="h", prefix="/", work=WorkClass.ONCE, services={}),
        Service(name="s", work=WorkClass.ONCE),
        Workspace(name="w"),
        ClientLimits(name="limits"),
        Target(
            name="i-1",
            service="s",
            region="",
            domain="a1",
            address="10.0.0.9:80",
            slots=1,
        ),
    ]


# Calls of the stores.


class RawServer:
    """Answers each request with the next of some bytes, and keeps what came.

    Probes of a target's load are answered with 404 and not kept.
    """

    def __init__(self, *answers: bytes) -> None:
        self.requests: list[bytes] = []
        self._answers = list(answers)
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> str:
        """Listen on a free port, and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            while self._answers:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                body = await reader.readexactly(int(length[1]) if length else 0)
                if PROBE_PATH.encode() in head:
                    writer.write(b"HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.requests.append(head + body)
                writer.write(self._answers.pop(0))
        writer.close()

    def line_and_body(self) -> tuple[str, bytes]:
        """Return the line and the body of the only request."""
        [request] = self.requests
        head, _, body = request.partition(b"\r\n\r\n")
        return head.split(b"\r\n")[0].decode(), body


def json_reply(body: bytes) -> bytes:
    """Return an answer with a body in JSON."""
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    )


async def first_of_watch(store: Store) -> list[Event]:
    """Return what a watch yields first."""
    watch = store.watch("op/", 7)
    try:
        return await anext(watch)
    finally:
        await watch.aclose()  # type: ignore[attr-defined]


class StoreCall(msgspec.Struct, frozen=True):
    """One call: what is sent, and what an answer means."""

    name: str
    make: Callable[[Any], Awaitable[Any]]
    line: str
    body: bytes
    answer: bytes
    result: Any


WRITES = [Write("op/a", b"1", 6), Write("op/b", b"2"), Write("op/c", None, 0)]
ETCD_CALLS = [
    StoreCall(
        "read",
        lambda store: store.read("op/"),
        "POST /v3/kv/range HTTP/1.1",
        b'{"key":"b3Av","range_end":"b3Aw"}',
        b'{"header":{"revision":"9"},"kvs":'
        b'[{"key":"b3AvYQ==","value":"MQ==","mod_revision":"8"}]}',
        Listing(9, [KeyValue("op/a", b"1", 8)]),
    ),
    StoreCall(
        "commit",
        lambda store: store.commit(WRITES),
        "POST /v3/kv/txn HTTP/1.1",
        b'{"compare":['
        b'{"key":"b3AvYQ==","target":"MOD","result":"EQUAL","mod_revision":"6"},'
        b'{"key":"b3AvYw==","target":"MOD","result":"EQUAL","mod_revision":"0"}],'
        b'"success":[{"request_put":{"key":"b3AvYQ==","value":"MQ=="}},'
        b'{"request_put":{"key":"b3AvYg==","value":"Mg=="}},'
        b'{"request_delete_range":{"key":"b3AvYw=="}}]}',
        b'{"header":{"revision":"9"},"succeeded":true}',
        Commit(True, 9),
    ),
    StoreCall(
        "watch",
        first_of_watch,
        "POST /v3/watch HTTP/1.1",
        b'{"create_request": {"key": "b3Av", "range_end": "b3Aw", '
        b'"start_revision": "8", "progress_notify": true}}',
        b'{"result":{"header":{"revision":"9"},"events":['
        b'{"kv":{"key":"b3AvYQ==","value":"MQ==","mod_revision":"8"}},'
        b'{"type":"DELETE","kv":{"key":"b3AvYg==","mod_revision":"9"}}]}}\n',
        [Event(8, "op/a", b"1"), Event(9, "op/b", None)],
    ),
]


@pytest.mark.parametrize("call", ETCD_CALLS, ids=lambda call: call.name)
async def test_call_of_etcd(call: StoreCall) -> None:
    server = RawServer(json_reply(call.answer))
    async with server as address:
        store = EtcdStore([f"http://{address}"])
        assert await call.make(store) == call.result
        await store.close()
    assert server.line_and_body() == (call.line, call.body)


ITEM = b'{"private-key":"op/a","revision":8,"value":"MQ==","lease":5}'
PLATFORM_CALLS = [
    StoreCall(
        "read",
        lambda store: store.read("op/"),
        "GET /api/kv-range?path-prefix=op/ HTTP/1.1",
        b"",
        b'{"items":[' + ITEM + b'],"more":false,"at":9}',
        Listing(9, [KeyValue("op/a", b"1", 8, 5)]),
    ),
    StoreCall(
        "stale read",
        lambda store: store.read_stale("op/"),
        "GET /api/kv-range?path-prefix=op/&stale=1 HTTP/1.1",
        b"",
        b'{"items":[],"more":false,"at":9}',
        Listing(9, []),
    ),
    StoreCall(
        "watch",
        first_of_watch,
        "GET /api/kv-watch?path-prefix=op/&after=7&wait-ms=150 HTTP/1.1",
        b"",
        b'{"events":['
        + ITEM
        + b',{"private-key":"op/b","revision":9,"gone":true}],"at":9}',
        [Event(8, "op/a", b"1"), Event(9, "op/b", None)],
    ),
    StoreCall(
        "commit",
        lambda store: store.commit(WRITES),
        "POST /api/kv-txn HTTP/1.1",
        b'{"expected-revision":[{"private-key":"op/a","revision":6},'
        b'{"private-key":"op/c","revision":0}],'
        b'"put":[{"private-key":"op/a","value":"MQ==","lease":0},'
        b'{"private-key":"op/b","value":"Mg==","lease":0}],'
        b'"removals":["op/c"]}',
        b'{"revision":9}',
        Commit(True, 9),
    ),
    StoreCall(
        "keep",
        lambda store: store.keep(5),
        "POST /api/kv-keep/5 HTTP/1.1",
        b"",
        b"{}",
        True,
    ),
    StoreCall(
        "let go",
        lambda store: store.let_go(5),
        "DELETE /api/kv-lease-end/5 HTTP/1.1",
        b"",
        b"{}",
        None,
    ),
]


@pytest.mark.parametrize("call", PLATFORM_CALLS, ids=lambda call: call.name)
async def test_call_of_platform(call: StoreCall) -> None:
    server = RawServer(json_reply(call.answer))
    async with server as address:
        store = PlatformStore(address)
        assert await call.make(store) == call.result
        await store.close()
    assert server.line_and_body() == (call.line, call.body)


async def test_registration_on_the_platform() -> None:
    """A lease, and the key under it."""
    server = RawServer(json_reply(b'{"lease":5}'), json_reply(b'{"revision":9}'))
    async with server as address:
        store = PlatformStore(address)
        assert await store.hold("leverdoor/entries/n1", b"1", 15.0) == 5
        await store.close()
    lease, put = (request.partition(b"\r\n\r\n") for request in server.requests)
    assert lease[0].startswith(b"POST /api/kv-lease HTTP/1.1\r\n")
    assert lease[2] == b'{"ttl_ms":15000}'
    assert put[0].startswith(b"POST /api/kv-txn HTTP/1.1\r\n")
    assert put[2] == (
        b'{"expected-revision":[],"put":[{"private-key":"leverdoor/entries/n1",'
        b'"value":"MQ==","lease":5}],"removals":[]}'
    )


# Requests and answers over HTTP.


def test_header_names() -> None:
    """Names between callers, gates and targets of plain sites."""
    assert {name: getattr(h, name) for name in h.__all__ if name.isupper()} == {
        "CALLER": "Leverdoor-Caller",
        "CODE": "Leverdoor-Code",
        "DEADLINE": "Leverdoor-Deadline-Ms",
        "HOME": "Leverdoor-Home",
        "HOP": "Leverdoor-Hop",
        "KEY": "Idempotency-Key",
        "LEAVING": "Leverdoor-Leaving",
        "NOT_RUN": "Leverdoor-Not-Run",
        "REQUEST_ID": "Leverdoor-Request-Id",
        "RETRY_AFTER_MS": "Leverdoor-Retry-After-Ms",
        "RUN": "Leverdoor-Run",
        "SERVED_BY": "Leverdoor-Served-By",
        "TIER": "Leverdoor-Tier",
    }


def masked(data: bytes) -> bytes:
    """Return a message without what differs from run to run, or by versions."""
    for name in (b"Date", b"Server", b"[\\w-]*Deadline-Ms"):
        data = re.sub(rb"(?im)^(%b): [^\r]+" % name, rb"\1: *", data)
    return re.sub(rb"127\.\d+\.\d+\.\d+:\d+", b"HOST:PORT", data)


async def exchange(address: str, *lines: str, body: bytes = b"") -> bytes:
    """Send one request over a connection of its own; return the masked answer."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"(?i)content-length: (\d+)", head)
    assert length
    answer = head + await reader.readexactly(int(length[1]))
    writer.close()
    return masked(answer)


def route(name: str, **fields: object) -> dict[str, object]:
    """Return a route of the platform to the service of its name."""
    prefix = f"/{name}/"
    named = {"name": name, "host": "records.example", "path-prefix": prefix}
    return {**named, "kind": "unsafe", "service": name, **fields}


class EntryCase(msgspec.Struct, frozen=True):
    """What a target answers an entry, and what the client gets then."""

    name: str
    target: bytes
    client: bytes


ENTRY_REQUEST = (
    "POST /file/a?b=%2F HTTP/1.1",
    "Host: records.example",
    "X-Request-Id: r1",
    "X-Deadline-Ms: 2000",
    "X-Tenant: forged",
    "Leverdoor-Run: x",
    "X-Other: c",
    "Connection: x-hop",
    "X-Hop: d",
    "X-Affinity-Key: k",
    "Content-Length: 3",
)
ENTRY_TO_TARGET = (
    b"POST /file/a?b=%2F HTTP/1.1\r\n"
    b"Host: records.example\r\n"
    b"X-Request-ID: r1\r\n"
    b"X-Other: c\r\n"
    b"X-Affinity-Key: k\r\n"
    b"x-deadline-ms: *\r\n"
    b"x-expect-instance: t1\r\n"
    b"Content-Length: 3\r\n"
    b"\r\n"
    b"abc"
)
ENTRY_CASES = [
    EntryCase(
        "served",
        b"HTTP/1.1 200 Fine\r\nX-Request-Id: r1\r\nX-Server-Stamp: t1.1\r\n"
        b"X-Server-Load: 1,0,4\r\nContent-Type: text/plain\r\nX-Other: a\r\n"
        b"Connection: x-hop\r\nX-Hop: d\r\nContent-Length: 2\r\n\r\nhi",
        b"HTTP/1.1 200 Fine\r\nx-request-id: r1\r\nx-server-stamp: t1.1\r\n"
        b"x-server-load: 1,0,4\r\ncontent-type: text/plain\r\nx-other: a\r\n"
        b"Content-Length: 2\r\nDate: *\r\nServer: *\r\n\r\nhi",
    ),
    EntryCase(
        "refused",
        b"HTTP/1.1 503 No\r\nX-Request-Id: r1\r\nX-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
        b"x-request-id: r1\r\nRetry-After: 0.250\r\nContent-Length: 80\r\n"
        b"Date: *\r\nServer: *\r\n\r\n"
        b'{"code":3016,"name":"TARGET_REFUSED","detail":"status 503",'
        b'"retry_after_ms":250}',
    ),
    EntryCase(
        "failed",
        b"HTTP/1.1 500 Oops\r\nX-Request-Id: r1\r\nContent-Length: 3\r\n\r\nbad",
        b"HTTP/1.1 500 Oops\r\nx-request-id: r1\r\nContent-Length: 3\r\n"
        b"Content-Type: application/octet-stream\r\nDate: *\r\nServer: *\r\n\r\nbad",
    ),
    EntryCase(
        "lost",
        b"",
        b"HTTP/1.1 502 Bad Gateway\r\nContent-Type: application/json\r\n"
        b"x-request-id: r1\r\nContent-Length: 80\r\nDate: *\r\nServer: *\r\n\r\n"
        b'{"code":3101,"name":"ANSWER_LOST","detail":"closed by the target",'
        b'"run":"maybe"}',
    ),
]


@contextlib.asynccontextmanager
async def entry_before(target: str) -> AsyncIterator[EntrySite]:
    """Run one entry before one target of the service `file`."""
    site = EntrySite({"n1": Place("a1", "a")}, [])
    fields = {"service": "file", "address": target, "zone": "a1", "slots": 4}
    site.store.put("servers/t1", serialize_json(fields))
    try:
        await site.start([route("file"), route("look")])
        yield site
    finally:
        await site.stop()


@pytest.mark.parametrize("case", ENTRY_CASES, ids=lambda case: case.name)
async def test_request_through_an_entry(case: EntryCase) -> None:
    server = RawServer(case.target)
    async with server as target, entry_before(target) as site:
        front = site.front(site.entries["n1"])
        assert await exchange(front, *ENTRY_REQUEST, body=b"abc") == case.client
    assert [masked(request) for request in server.requests] == [ENTRY_TO_TARGET]


async def test_long_body_through_an_entry() -> None:
    """It is streamed, and its length moves before the entry's own headers."""
    body = b"x" * 600_000
    request = (*ENTRY_REQUEST[:-1], "Content-Length: 600000")
    server = RawServer(ENTRY_CASES[0].target)
    async with server as target, entry_before(target) as site:
        front = site.front(site.entries["n1"])
        assert await exchange(front, *request, body=body) == ENTRY_CASES[0].client
    [(head, _, arrived)] = [r.partition(b"\r\n\r\n") for r in server.requests]
    assert arrived == body
    assert masked(head) == (
        b"POST /file/a?b=%2F HTTP/1.1\r\nHost: records.example\r\n"
        b"X-Request-ID: r1\r\nX-Other: c\r\nX-Affinity-Key: k\r\n"
        b"Content-Length: 600000\r\nx-deadline-ms: *\r\nx-expect-instance: t1"
    )


async def test_requests_that_an_entry_answers_itself() -> None:
    async with RawServer() as target, entry_before(target) as site:
        ports = site.entries["n1"].ports
        assert await exchange(
            ports["frontend"],
            "GET /nowhere HTTP/1.1",
            "Host: records.example",
            "X-Request-Id: r1",
        ) == (
            b"HTTP/1.1 404 Not Found\r\nContent-Type: application/json\r\n"
            b"x-request-id: r1\r\nContent-Length: 67\r\nDate: *\r\nServer: *\r\n\r\n"
            b'{"code":3014,"name":"NO_ROUTE","detail":"records.example /nowhere"}'
        )
        answer = await exchange(
            ports["directory"],
            "GET /api/resolve?name=records.example&region=a&zone=a1 HTTP/1.1",
            "Host: a",
        )
        assert re.sub(rb"Length: \d+", b"Length: *", answer) == (
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: *\r\nDate: *\r\nServer: *\r\n\r\n"
            b'{"addresses":["HOST:PORT"],"ttl-s":2.0}'
        )
        assert await exchange(
            ports["ready"], "GET /api/readiness HTTP/1.1", "Host: a"
        ) == (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nDate: *\r\nServer: *\r\n\r\n")


async def test_workspace_towards_a_target() -> None:
    """A target gets the workspace's name in place of its key."""
    server = RawServer(ENTRY_CASES[0].target)
    async with server as target, entry_before(target) as site:
        tenant = {"name": "w1", "api-keys": ["key"]}
        site.configure([route("file"), route("look")], tenants=[tenant])
        await until_in_force(site, "/look/x", 401)
        front = site.front(site.entries["n1"])
        answer = await exchange(front, *ENTRY_REQUEST, "X-Credential: key", body=b"abc")
    assert answer == ENTRY_CASES[0].client
    assert [masked(request) for request in server.requests] == [
        ENTRY_TO_TARGET.replace(
            b"x-deadline-ms: *", b"x-tenant: w1\r\nx-deadline-ms: *"
        )
    ]


class GateCase(msgspec.Struct, frozen=True):
    """A request line of a caller, and the answer of the gate itself."""

    line: str
    answer: bytes


GATE_CASES = [
    GateCase(
        "GET /s/once/a HTTP/1.1",
        b"HTTP/1.1 428 Precondition Required\r\nContent-Type: application/json\r\n"
        b"Leverdoor-Code: 3007\r\nLeverdoor-Run: no\r\nLeverdoor-Request-Id: r1\r\n"
        b"Content-Length: 97\r\nDate: *\r\nServer: *\r\n\r\n"
        b'{"code":3007,"name":"KEY_REQUIRED","detail":'
        b'"The service runs at most once; send an issued key."}',
    ),
    GateCase(
        "GET /s/nowhere/a HTTP/1.1",
        b"HTTP/1.1 404 Not Found\r\nContent-Type: application/json\r\n"
        b"Leverdoor-Code: 3001\r\nLeverdoor-Run: no\r\nLeverdoor-Request-Id: r1\r\n"
        b"Content-Length: 74\r\nDate: *\r\nServer: *\r\n\r\n"
        b'{"code":3001,"name":"UNKNOWN_SERVICE","detail":'
        b'"No service of this name."}',
    ),
    GateCase(
        "GET /readyz HTTP/1.1",
        b"HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\n"
        b"Content-Length: 6\r\nDate: *\r\nServer: *\r\n\r\nready\n",
    ),
]


async def add_target(bench: Bench, address: str) -> None:
    """Give the service `look` one target, and wait until it may be used."""
    plan = TargetPlan("only", "look", "r0", "r0-0", 4)
    operator = Operator([bench.api()])
    await operator.apply(Deployment([], [plan], []).target_resources({"only": address}))
    await operator.close()
    await until(lambda: bench.free() > 0)


async def test_requests_through_a_gate() -> None:
    server = RawServer(
        b"HTTP/1.1 200 Fine\r\nX-Other: a\r\nContent-Type: text/plain\r\n"
        b"Connection: x-hop\r\nX-Hop: d\r\nLeverdoor-Run: x\r\n"
        b"Content-Length: 2\r\n\r\nhi",
    )
    site = running(deployment(vms=1, targets=0))
    async with server as target, site as bench:
        await add_target(bench, target)
        answer = await exchange(
            bench.listen(),
            "POST /s/look/a?b=%2F HTTP/1.1",
            "Host: records.example",
            "Leverdoor-Request-Id: r1",
            "Leverdoor-Caller: c1",
            "Leverdoor-Deadline-Ms: 1500",
            "Leverdoor-Run: x",
            "X-Other: c",
            "Connection: x-hop",
            "X-Hop: d",
            "Content-Length: 3",
            body=b"abc",
        )
        for case in GATE_CASES:
            assert case.answer == await exchange(
                bench.listen(), case.line, "Host: a", "Leverdoor-Request-Id: r1"
            )
    assert answer == (
        b"HTTP/1.1 200 OK\r\nX-Other: a\r\nContent-Type: text/plain\r\n"
        b"Content-Length: 2\r\nLeverdoor-Request-Id: r1\r\nLeverdoor-Code: 0\r\n"
        b"Leverdoor-Run: yes\r\nLeverdoor-Served-By: r0/only\r\n"
        b"Date: *\r\nServer: *\r\n\r\nhi"
    )
    assert [masked(request) for request in server.requests] == [
        b"POST /a?b=%2F HTTP/1.1\r\nHost: HOST:PORT\r\nX-Other: c\r\n"
        b"Content-Length: 3\r\nLeverdoor-Request-Id: r1\r\n"
        b"Leverdoor-Deadline-Ms: *\r\n\r\nabc"
    ]


def test_refusal_of_a_gate() -> None:
    """Retry-After is in whole seconds, rounded up."""
    refusal = Refusal(Code.QUEUE_FULL, "busy", retry_after_ms=1_250)
    answer = problem_answer(refusal, "r1")
    assert answer.status == 503
    assert dict(answer.headers) == {
        "Content-Type": "application/json",
        "Leverdoor-Code": "3002",
        "Leverdoor-Run": "no",
        "Leverdoor-Request-Id": "r1",
        "Retry-After": "2",
        "Leverdoor-Retry-After-Ms": "1250",
    }
    assert answer.body == (
        b'{"code":3002,"name":"QUEUE_FULL","detail":"busy","retry_after_ms":1250}'
    )


def test_error_of_a_gate() -> None:
    answer = problem_answer(Refusal(Code.ANSWER_LOST, "cut short"), "r1")
    assert answer.status == 502
    assert dict(answer.headers) == {
        "Content-Type": "application/json",
        "Leverdoor-Code": "3101",
        "Leverdoor-Run": "maybe",
        "Leverdoor-Request-Id": "r1",
    }
    assert answer.body == (
        b'{"code":3101,"name":"ANSWER_LOST","detail":"cut short","run":"maybe"}'
    )


class Pull(msgspec.Struct, frozen=True):
    """A stored value, and the head of the answer that carries it to a peer."""

    name: str
    value: bytes
    head: bytes
    coding: Callable[[bytes], bytes]


PULL_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Encoding: %b\r\nContent-Length: *\r\n"
    b"Content-Type: application/octet-stream\r\nDate: *\r\nServer: *"
)
PULLS = [
    Pull("short", b"{}", PULL_HEAD % b"identity", bytes),
    Pull("long", b"{}" * 1_000, PULL_HEAD % b"deflate", zlib.decompress),
]


@pytest.mark.parametrize("pull", PULLS, ids=lambda pull: pull.name)
async def test_pull_from_an_entry(pull: Pull) -> None:
    """A state that does not fit one packet is compressed."""
    state = State()
    state.apply(Delta(0, 5, True, [Event(5, "op/a", pull.value)]))
    admin = AdminServer(
        wire({}), state, EntryMetrics(), lambda: True, lambda *_: [], 1.0
    )
    runner = web.ServerRunner(web.Server(admin.handle))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    answer = await exchange(
        f"127.0.0.1:{runner.addresses[0][1]}",
        "GET /v1/internal/state?since=0 HTTP/1.1",
        "Host: a",
    )
    await runner.cleanup()
    head, _, body = answer.partition(b"\r\n\r\n")
    assert re.sub(rb"Length: \d+", b"Length: *", head) == pull.head
    assert unpack(pull.coding(body), Delta) == state.delta(0)
