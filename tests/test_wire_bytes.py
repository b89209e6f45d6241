# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What goes over the wire and into the store, byte by byte.

The literals were written down once from the running code. A test that fails here
means that processes of two versions cannot read each other's messages, or that
stored data is no longer readable: fix the code, not the literal. The values
are in `wire_samples.py`.
"""

import asyncio
import uuid
import zlib
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec
import pytest

import wire_samples as samples
from leverdoor.agent.link import GateReport
from leverdoor.codec import pack, parse_json, serialize_json, unpack
from leverdoor.entry.exchange import encoding, messages
from leverdoor.entry.exchange.target_counts import TargetCountCodec
from leverdoor.entry.exchange.usage_encoding import UsageCodec
from leverdoor.entry.membership.member import link_sort_key, member_id
from leverdoor.gate.idempotency_keys import KeyRegistry, parse_key, serialize_key
from leverdoor.membership.gossip import GossipSocket
from leverdoor.membership.ownership import parse_table, serialize_table
from leverdoor.membership.peers import AgentHeartbeat
from leverdoor.model.position import START, UNKNOWN_ERA, position_without_era
from leverdoor.model.resources import (
    KINDS,
    Tier,
    parse_resource,
    resource_key,
    serialize_resource,
)
from leverdoor.platform.wire_format import wire
from leverdoor.storage.configuration import Configuration, Guard
from leverdoor.storage.history import (
    HISTORY,
    HistoryMarker,
    parse_marker,
    serialize_marker,
)
from leverdoor.storage.state import GUARD, PREFIX, RESOURCES, TABLES, Delta, State
from leverdoor.storage.store import (
    Event,
    MemoryStore,
)

PACKED_BYTES: dict[str, bytes] = {
    "member": (
        b"\x98\xa2n1\xa8siliguri\xaasiliguri-a\xab10.0.0.1:80\xad10.0.0.1:7946\xad10.0"
        b".0.1:7947\xcf\x00\x06\x0a$\x18\x1e@\x01\xcd\x03\xe8"
    ),
    "entry heartbeat": (
        b"\xdc\x00\x11\xa1h\x98\xa2n1\xa8siliguri\xaasiliguri-a\xab10.0.0.1:80\xad10.0.0.1:7"
        b"946\xad10.0.0.1:7947\xcf\x00\x06\x0a$\x18\x1e@\x01\xcd\x03\xe8"
        b"\xcd\x01,"
        b"\x01\xce\x00\x01\x11p\x82\xa2t1\x03\xa2t2\x04\x81\xa4look\x82\xa8siliguri"
        b"\xcb?\xe8\x00\x00\x00\x00\x00\x00\xa7kolkata\xcb?\xd0\x00\x00\x00\x00\x00"
        b"\x00\xcd\x05\xdc\xc4\x04\x01\x02\x03\x04\xc4\x05\x05\x06\x07\x08\x09\xcc"
        b"\xfa\xcf\x01#Eg\x89\xab\xcd\xef\xc3\x03\xc4\x06\x0e\x0f\x10\x11\x30\x05"
        b"\x81\xa2s1\x81\xa8siliguri\xcb?\xe0\x00\x00\x00\x00\x00\x00\xc3"
    ),
    "digest": (
        b"\xdc\x00\x18\xa1d\xa2n1\x02\xcd\x01-\xcf\x00\x06\x0a$\x18\x1e@\x01\xce\x00"
        b"\x01\x11p\xad10.0.0.1:7947\x91\x95\xaasiliguri-a\xce\xfe\xdc\xba\x98\xc4"
        b"\x02\x01\x02\xc4\x02\x00\x02\xc4\x02,-\x91\x93\xa8siliguri\xce\x89\xab\xcd"
        b"\xef\xc4\x01\x03\x07\x81\xa4look\x82\xa8siliguri\xcb?\xe8\x00\x00\x00\x00"
        b"\x00\x00\xa7kolkata\xcb?\xd0\x00\x00\x00\x00\x00\x00\xcd\x05\xdc\xc4\x04"
        b"\x01\x02\x03\x04\xc4\x05\x05\x06\x07\x08\x09\xcd\x01\xc2\xcd#(\x02\xcc\xfa"
        b"\xcf\x01#Eg\x89\xab\xcd\xef\xc4\x04\x0a\x0b\x0c\x0d\x03"
        b"\xc4\x06\x0e\x0f\x10\x11\x30\x05"
        b"\x81\xa2s1\x81\xa8siliguri\xcb?\xe0\x00\x00\x00\x00\x00\x00"
        b"\xc4\x04\x12\x13\x14\x15"
    ),
    "news": (
        b"\x96\xa1n\xce\x00\x01\x11p\xad10.0.0.1:7947\xcf\x01#Eg\x89\xab\xcd\xef\xcc"
        b"\xfa\x03"
    ),
    "quarantine news": (
        b"\x93\xa1q\xa2n1\xc49\x00\x08\x07\x06\x05\x04\x03\x02\x01"
        b"\x98\xba\xdc\xfe\xdc\x05\x00\x00?\x00\x01\xfe\xff\xff\xff\xff\xff"
        b"\xff\xff\x00\x00\x00\x00p\x11\x01\x00\x19\x00\x02\x01\x00\x00\x00"
        b"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
    ),
    "limit news": (
        b"\x94\xa1l\xa2n1\x01\xc4\x18\x98\xba\xdc\xfe\x00\x00`@\xd0\x07\x00\x00"
        b"\x07\x00\x00\x00\x00\x00\x80\xbf\xfa\x00\x00\x00"
    ),
    "room request": (
        b"\x97\xa1r\xad10.0.0.1:7946\xce\x00\x01\x11p\xce\xfe\xdc\xba\x98"
        b"\xcb@\x0c\x00\x00\x00\x00\x00\x00\x02\x11"
    ),
    "room answer": b"\x95\xa1g\xce\x00\x01\x11p\xc2\xcd\x01\x18\xcd\x05x",
    "delta": (
        b"\x89\xa4type\xa5Delta\xa5since\xce\x00\x01\x11n\xa8revision\xce\x00\x01\x11p"
        b"\xa4full\xc3\xa6events\x92\x93\xce\x00\x01\x11o\xbe/leverdoor/resources/tier"
        b'/gold\xc4\x0f{"kind":"tier"}\x93\xce\x00\x01\x11p\xbd/leverdoor/resource'
        b"s/drain/d1\xc0\xa3era\x03\xa8retained\x91\x97\xaeop/evacuate/d2\xc0\xce"
        b"\x00\x01\r\x88\x02\xc4\x011\xce\x00\x01\t\xa0\x83\xa4kind\xa6switch"
        b"\xa6number\x07\xa7leaving\xc3\xa4base\xcf\x01#Eg\x89"
        b"\xab\xcd\xef\xaasuperseded\x91\x93\xce\x00\x01\x11o\xa9op/config"
        b"\xcf\xfe\xdc\xba\x98vT2\x10"
    ),
    "stored entry": b"\x95\xaaservers/t1\xc4\x02{}\xce\x00\x01\x11p\x0c\x03",
    "gate report": (
        b"\x8c\xa4type\xaaGateReport\xa4gate\xab10.0.0.1:80\xa5relay\xab10.0.0.1:81"
        b"\xabincarnation\xcf\x00\x06\x0a$\x18\x1e@\x01\xa8revision\xce\x00\x01\x11p"
        b"\xa3ack\x92(\x91\xadt:10.0.0.9:80\xa5state\xa7serving\xa5loads\x81\xa4look"
        b"\x94\x05\x02\x03\xcb@)\x00\x00\x00\x00\x00\x00\xa4caps\x81\xaec:look:kolkata"
        b"\x06\xa4held\x91\xadt:10.0.0.9:80\xa8draining\x81\xa2t1\x02\xa3era\x03"
    ),
    "hints": (
        b"\x85\xa4type\xa5Hints\xaaheartbeats\x91\xdc\x00\x16\xa3vm1\xa8siliguri\xaa"
        b"siliguri-a\xad10.0.0.1:7946\xad10.0.0.1:7948\xcf\x00\x06\x0a$\x18\x1e@\x03"
        b"\xcd\x01,\xce\x00\x01\x11p\xab10.0.0.1:80\xab10.0.0.1:81\xcf\x00\x06\x0a$"
        b"\x18\x1e@\x01\xce\x00\x01\x11o\x92(\x91\xadt:10.0.0.9:80\xa7leaving\x81"
        b"\xa4look\x94\x05\x02\x03\xcb@)\x00\x00\x00\x00\x00\x00\x81\xaec:look:kolka"
        b"ta\x06\x91\xb1vm8|10.0.0.8:80|1\x91\xa3vm9\x81\xa2t1\x02\xc3\x03\x02\xableaving_vm"
        b"s\x91\xa3vm9\xa6probes\x81\xab10.0.0.9:80\x95\xc3\xc3\x04\xcb@\x93J\x00"
        b"\x00\x00\x00\x00\xc2\xb1incarnation_floor\xcf\x00\x06\x0a$\x18\x1e@\x00"
    ),
    "gate heartbeat": (
        b"\xdc\x00\x16\xa3vm1\xa8siliguri\xaasiliguri-a\xad10.0.0.1:7946\xad10.0.0.1"
        b":7948\xcf\x00\x06\x0a$\x18\x1e@\x03\xcd\x01,\xce\x00\x01\x11p\xab10.0.0.1:"
        b"80\xab10.0.0.1:81\xcf\x00\x06\x0a$\x18\x1e@\x01\xce\x00\x01\x11o\x92(\x91"
        b"\xadt:10.0.0.9:80\xa7leaving\x81\xa4look\x94\x05\x02\x03\xcb@)\x00\x00\x00"
        b"\x00\x00\x00\x81\xaec:look:kolkata\x06\x91\xb1vm8|10.0.0.8:80|1\x91\xa3vm9"
        b"\x81\xa2t1\x02\xc3\x03\x02"
    ),
    "gossip": (
        b"\x91\x91\xdc\x00\x16\xa3vm1\xa8siliguri\xaasiliguri-a\xad10.0.0.1:7946\xad"
        b"10.0.0.1:7948\xcf\x00\x06\x0a$\x18\x1e@\x03\xcd\x01,\xce\x00\x01\x11p\xab1"
        b"0.0.0.1:80\xab10.0.0.1:81\xcf\x00\x06\x0a$\x18\x1e@\x01\xce\x00\x01\x11o"
        b"\x92(\x91\xadt:10.0.0.9:80\xa7leaving\x81\xa4look\x94\x05\x02\x03\xcb@)"
        b"\x00\x00\x00\x00\x00\x00\x81\xaec:look:kolkata\x06\x91\xb1vm8|10.0.0.8:80|"
        b"1\x91\xa3vm9\x81\xa2t1\x02\xc3\x03\x02"
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
EARLIER_BYTES: dict[str, bytes] = {
    "delta": (
        b"\x88\xa4type\xa5Delta\xa5since\xce\x00\x01\x11n\xa8revision\xce\x00\x01\x11p"
        b"\xa4full\xc3\xa6events\x92\x93\xce\x00\x01\x11o\xbe/leverdoor/resources/tier"
        b'/gold\xc4\x0f{"kind":"tier"}\x93\xce\x00\x01\x11p\xbd/leverdoor/resource'
        b"s/drain/d1\xc0\xa3era\x03\xa8retained\x91\x96\xaeop/evacuate/d2\xc0\xce"
        b"\x00\x01\r\x88\x02\xc4\x011\xce\x00\x01\t\xa0\xa4base\xcf\x01#Eg\x89"
        b"\xab\xcd\xef"
    ),
    "gate report": (
        b"\x8b\xa4type\xaaGateReport\xa4gate\xab10.0.0.1:80\xa5relay\xab10.0.0.1:81"
        b"\xabincarnation\xcf\x00\x06\x0a$\x18\x1e@\x01\xa8revision\xce\x00\x01\x11p"
        b"\xa3ack\x92(\x91\xadt:10.0.0.9:80\xa5state\xa7serving\xa5loads\x81\xa4look"
        b"\x94\x05\x02\x03\xcb@)\x00\x00\x00\x00\x00\x00\xa4caps\x81\xaec:look:kolkata"
        b"\x06\xa4held\x91\xadt:10.0.0.9:80\xa8draining\x81\xa2t1\x02"
    ),
    "gate heartbeat": (
        b"\xdc\x00\x14\xa3vm1\xa8siliguri\xaasiliguri-a\xad10.0.0.1:7946\xad10.0.0.1"
        b":7948\xcf\x00\x06\x0a$\x18\x1e@\x03\xcd\x01,\xce\x00\x01\x11p\xab10.0.0.1:"
        b"80\xab10.0.0.1:81\xcf\x00\x06\x0a$\x18\x1e@\x01\xce\x00\x01\x11o\x92(\x91"
        b"\xadt:10.0.0.9:80\xa7leaving\x81\xa4look\x94\x05\x02\x03\xcb@)\x00\x00\x00"
        b"\x00\x00\x00\x81\xaec:look:kolkata\x06\x91\xb1vm8|10.0.0.8:80|1\x91\xa3vm9"
        b"\x81\xa2t1\x02\xc3"
    ),
}
"""Messages of plain sites as an earlier release sends them, without eras."""

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
        b'tier","name":"gold"},"in_force":1,"entries":2}],"era":3}'
    ),
    "change": (
        b'{"revision":70000,"type":"put","key":"tier/gold","resource":{"k'
        b'ind":"tier","name":"gold"},"era":3}'
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
        b"\xdc\x00\x11\xa1h\x98\xa2n1\xa8siliguri\xaasiliguri-a\xab10.0.0.1:80\xad10.0.0.1:7"
        b"946\xad10.0.0.1:7947\xcf\x00\x06\x0a$\x18\x1e@\x01\xcd\x03\xe8"
        b"\xcd\x01,"
        b"\x01\xce\x00\x01\x11p\x80\x80\xff\xc4\x00\xc4\x00\xff\x00\xc2\xff\xc4\x00\x80\xc2"
    ),
    "digest": (
        b"\xdc\x00\x18\xa1d\xa2n1\x02\xcd\x01-\xcf\x00\x06\x0a$\x18\x1e@\x01\xce\x00"
        b"\x01\x11p\xad10.0.0.1:7947\x91\x95\xaasiliguri-a\xce\xfe\xdc\xba\x98\xc4"
        b"\x02\x01\x02\xc4\x02\x00\x02\xc4\x02,-\x91\x93\xa8siliguri\xce\x89\xab\xcd"
        b"\xef\xc4\x01\x03\x01\x80\xff\xc4\x00\xc4\x00\x00\x00\x00\xff\x00\xc4\x00\xff"
        b"\xc4\x00\x80\xc4\x00"
    ),
    "news": (b"\x96\xa1n\xce\x00\x01\x11p\xad10.0.0.1:7947\x00\xff\xff"),
    "stored entry": b"\x95\xaaservers/t1\xc4\x02{}\xce\x00\x01\x11p\x00\xff",
    "gate report": (
        b"\x8c\xa4type\xaaGateReport\xa4gate\xab10.0.0.1:80\xa5relay\xab10.0.0.1:81"
        b"\xabincarnation\xcf\x00\x06\x0a$\x18\x1e@\x01\xa8revision\xce\x00\x01\x11p"
        b"\xa3ack\x92(\x91\xadt:10.0.0.9:80\xa5state\xa7serving\xa5loads\x81\xa4look"
        b"\x94\x05\x02\x03\xcb@)\x00\x00\x00\x00\x00\x00\xa4caps\x81\xaec:look:kolkata"
        b"\x06\xa4held\x91\xadt:10.0.0.9:80\xa8draining\x80\xa3era\xff"
    ),
    "hints": (
        b"\x85\xa4type\xa5Hints\xaaheartbeats\x91\xdc\x00\x16\xa3vm1\xa8siliguri\xaa"
        b"siliguri-a\xad10.0.0.1:7946\xad10.0.0.1:7948\xcf\x00\x06\x0a$\x18\x1e@\x03"
        b"\xcd\x01,\xce\x00\x01\x11p\xab10.0.0.1:80\xab10.0.0.1:81\xcf\x00\x06\x0a$"
        b"\x18\x1e@\x01\xce\x00\x01\x11o\x92(\x91\xadt:10.0.0.9:80\xa7leaving\x81"
        b"\xa4look\x94\x05\x02\x03\xcb@)\x00\x00\x00\x00\x00\x00\x81\xaec:look:kolka"
        b"ta\x06\x91\xb1vm8|10.0.0.8:80|1\x91\xa3vm9\x81\xa2t1\x02\xc3\x03\x02\xableaving_vm"
        b"s\x91\xa3vm9\xa6probes\x81\xab10.0.0.9:80\x95\xc3\xc3\x04\xcb@\x93J\x00"
        b"\x00\x00\x00\x00\xc2\xb1incarnation_floor\x00"
    ),
    "gate heartbeat": (
        b"\xdc\x00\x16\xa3vm1\xa8siliguri\xaasiliguri-a\xad10.0.0.1:7946\xad10.0.0.1"
        b":7948\xcf\x00\x06\x0a$\x18\x1e@\x03\xcd\x01,\x00\xa0\xa0\x00\x00\x92\x00"
        b"\x90\xa4none\x80\x80\x90\x90\x80\xc2\xff\xff"
    ),
    "ownership table": (
        b"\x85\xa6region\xa8siliguri\xa7version\x00\xabnext_member\x01\xa7members\x80"
        b"\xa4rows\x80"
    ),
    "idempotency key": (
        b"\x96\xa3vm1\xab10.0.0.1:81\xcf\x00\x06\x0a$\x18\x1e@\x01\xcd\x11\x94\xc4\x08"
        b"\x01\x02\x03\x04\x05\x06\x07\x08\xc4\x00"
    ),
    "item list": (
        b'{"revision":70000,"items":[{"revision":69999,"resource":{"kind":"'
        b'tier","name":"gold"},"in_force":1,"entries":2}]}'
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


def test_messages_without_eras_are_read() -> None:
    """Agents and gates of an earlier release serve beside new ones."""
    report = unpack(EARLIER_BYTES["gate report"], GateReport)
    assert report == msgspec.structs.replace(samples.GATE_REPORT, era=UNKNOWN_ERA)
    heartbeat = unpack(EARLIER_BYTES["gate heartbeat"], AgentHeartbeat)
    assert heartbeat.position == position_without_era(70_000)
    assert heartbeat.gate_position == position_without_era(69_999)


def test_deltas_without_superseded_changes_are_read() -> None:
    delta = unpack(EARLIER_BYTES["delta"], Delta)
    retained = [
        msgspec.structs.replace(r, last_facts=None) for r in samples.DELTA.retained
    ]
    expected = msgspec.structs.replace(samples.DELTA, superseded=[], retained=retained)
    assert delta == expected


def test_rows_of_entries() -> None:
    data = (
        b"\x04\x03\x02\x01\x01@\x1e\x18$\x0a\x06\x00\x01"
        b"\xfe\xff\xff\xff\x02@\x1e\x18$\x0a\x06\x00\x02"
    )
    assert encoding.serialize_rows(samples.ROWS) == data
    assert encoding.parse_rows(data) == samples.ROWS
    assert encoding.hash_rows(data) == 1953574800


def test_ages_of_entries() -> None:
    """In steps of 20 ms, rounded up."""
    assert encoding.serialize_ages(samples.AGES_S) == b"\x00\x022\xff"
    assert encoding.AGE_STEP_S == 0.02


def test_ids() -> None:
    data = b"\x01\x00\x00\x00\x04\x03\x02\x01\xfe\xff\xff\xff"
    assert encoding.serialize_hashes(samples.IDS) == data
    assert encoding.parse_hashes(data) == samples.IDS


def test_identity_and_order_of_entries() -> None:
    assert member_id("n1") == 2867198912
    assert link_sort_key(samples.MEMBER) == (-1000, 15506916534570490772)


def test_counts_of_a_region() -> None:
    """One byte a target, by name; 255 is the most."""
    lists = TargetCountCodec()
    lists.renew(samples.REGION_TARGETS)
    counts = messages.RegionCounts("siliguri", 3305339154, b"\x03\xff\x00")
    assert lists.serialize("siliguri", samples.REGION_COUNTS) == counts
    assert lists.parse(counts) == {"t1": 3, "t2": 255}


def test_use_of_quotas() -> None:
    """Pairs of place and count; 65,535 is the most."""
    lists = UsageCodec()
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


EARLIER_NEWS_DATAGRAM = (
    b"x\x01\x9b\xba0\xef\x1c\x03\xa3`\xc1ZC\x03=\x104\xb42\xb741?\xcf\xa8\xec"
    b"\x9a\xde\xb9\xfa\xec\xfb3\xbf\x00\xb6\xfb\x0c\x88"
)
"""The news as an earlier release sends it, without an era."""
NEWS_DATAGRAM = (
    b"x\x01\x9b\xb60\xef\x1c\x03\xa3`\xc1ZC\x03=\x104\xb42\xb741?\xcf\xa8\xec\x9a"
    b"\xde\xb9\xfa\xec\xfb3\xbf\x98\x01\xc3\xa8\x0c\x8c"
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
    socket.datagram_received(EARLIER_NEWS_DATAGRAM, ("10.0.0.2", 7946))
    earlier = msgspec.structs.replace(samples.NEWS, era=UNKNOWN_ERA)
    assert taken == [samples.NEWS, earlier]


def test_messages_without_lost_links_are_understood() -> None:
    """Entries of the previous release send messages without the fields."""
    heartbeat = PACKED_BYTES["entry heartbeat"].removesuffix(pack(True))
    earlier_heartbeat = b"\xdc\x00\x10" + heartbeat.removeprefix(b"\xdc\x00\x11")
    assert unpack(earlier_heartbeat, messages.Message) == msgspec.structs.replace(
        samples.ENTRY_HEARTBEAT, links_lost=False
    )
    added = pack(samples.DIGEST.without_links)
    digest = PACKED_BYTES["digest"].removesuffix(added)
    earlier_digest = b"\xdc\x00\x17" + digest.removeprefix(b"\xdc\x00\x18")
    assert unpack(earlier_digest, messages.Message) == msgspec.structs.replace(
        samples.DIGEST, without_links=b""
    )


def test_messages_without_speeds_and_keys_are_understood() -> None:
    """Entries of an earlier release send heartbeats and digests without the fields."""
    added = pack(samples.ENTRY_HEARTBEAT.speeds)
    added += pack(samples.ENTRY_HEARTBEAT.admitted_keys)
    heartbeat = PACKED_BYTES["entry heartbeat"].removesuffix(added + pack(True))
    earlier_heartbeat = b"\x9e" + heartbeat.removeprefix(b"\xdc\x00\x11")
    added += pack(samples.DIGEST.without_links)
    digest = PACKED_BYTES["digest"].removesuffix(added)
    earlier_digest = b"\xdc\x00\x15" + digest.removeprefix(b"\xdc\x00\x18")
    for data, sample in (
        (
            earlier_heartbeat,
            msgspec.structs.replace(samples.ENTRY_HEARTBEAT, links_lost=False),
        ),
        (earlier_digest, msgspec.structs.replace(samples.DIGEST, without_links=b"")),
    ):
        expected = msgspec.structs.replace(sample, speeds=b"", admitted_keys={})
        assert unpack(data, messages.Message) == expected


def test_snapshot_and_delta_of_a_state() -> None:
    """What a pull gets: everything, or what changed since."""
    state = State()
    tier = Event(4, "/leverdoor/resources/tier/gold", b"{}")
    state.apply(Delta(0, 5, True, [tier, Event(5, "/leverdoor/guard", b"{}")]))
    state.extend([Event(6, "/leverdoor/guard", None)])
    assert pack(state.delta(position_without_era(5))) == (
        b"\x85\xa4type\xa5Delta\xa5since\x05\xa8revision\x06\xa4full\xc2\xa6events\x91"
        b"\x93\x06\xb0/leverdoor/guard\xc0"
    )
    assert pack(state.delta(START)) == (
        b"\x85\xa4type\xa5Delta\xa5since\x00\xa8revision\x06\xa4full\xc3\xa6events\x91"
        b"\x93\x04\xbe/leverdoor/resources/tier/gold\xc4\x02{}"
    )


# Documents in the store.


def test_keys_of_the_store() -> None:
    assert PREFIX == "/leverdoor/"
    assert GUARD == "/leverdoor/guard"
    assert RESOURCES == "/leverdoor/resources/"
    assert TABLES == "/leverdoor/tables/"
    assert HISTORY == "/leverdoor/history"
    assert wire({}).peer_key("n1") == "leverdoor/entries/n1"


def test_marker_of_a_history() -> None:
    marker = HistoryMarker(3, "a1b2")
    assert serialize_marker(marker) == b'{"era":3,"id":"a1b2"}'
    assert parse_marker(serialize_marker(marker)) == marker


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
    ring = KeyRegistry("vm1", "10.0.0.1:81", 17, b"secret", 100.0)
    text = "lqN2bTGrMTAuMC4wLjE6ODERzRGUxAgBAQEBAQEBAcQMAOhyGGfmgW3X7QCx"
    assert ring.issue(b"\x01" * 8, 104.5) == text
    assert ring.issued_here(parse_key(text))


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
