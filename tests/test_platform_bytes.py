# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The platform's formats as they are read and written, byte by byte.

The rule of `test_wire_bytes.py` holds: fix the code, not the literal.
"""

from typing import Any

import msgspec

from leverdoor.codec import parse_json, serialize_json
from leverdoor.entry.settings import EntrySettings
from leverdoor.model.resources import (
    ClientLimits,
    Drain,
    Region,
    Route,
    Service,
    Target,
    WorkClass,
    Workspace,
)
from leverdoor.platform.settings import parse_settings
from leverdoor.platform.wire_format import wire
from leverdoor.settings import Address
from leverdoor.storage.store import (
    KeyValue,
)
from leverdoor.workspaces.quota_bounds import QuotaBounds

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
        "state": "draining", "cold-remaining-ms": 900, "version": "v1",
        "sequence": 4
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
        "server-limit",
        "server-leaving",
        "retry-after",
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
    assert msgspec.structs.astuple(load) == (4, 2, 8, 1.0)
    slow = speech.parse_load("5,2,8,250")
    assert slow is not None
    assert msgspec.structs.astuple(slow) == (4, 2, 8, 2.5)


PLATFORM_SETTINGS = b"""{
    "node-name": "n1", "ip-address": "10.0.0.1", "zone": "a1", "region": "a",
    "zones": {"a1": "a"}, "bootstrap": true, "internal-port-range": [7200, 7215],
    "listen-addresses": {
        "frontend": "10.0.0.1:8381", "ready": "10.0.0.1:8388",
        "directory": "10.0.0.1:8383"
    },
    "platform": {"address": "10.9.9.9:8384", "writes_per_s": 300},
    "limits": {"link-bandwidth-mbps": 1000, "file-descriptors": 4100},
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
    descriptors=4_100,
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
        descriptors=0,
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
    configured = wire({"a1": "a"}).translate(entries)
    assert [one.cause for one in configured.left_out] == ["unreadable"]
    assert configured.resources == [
        Region(name="a", domains=["a1"]),
        Route(name="r", host="h", prefix="/", work=WorkClass.ONCE, services={}),
        Service(name="s", work=WorkClass.ONCE),
        Workspace(name="w"),
        ClientLimits(name="limits"),
    ]
