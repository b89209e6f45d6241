# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of the translation of the store's contents, settings and target headers.

One test checks that only the adapter package uses the platform's names.
"""

import json
import math
import re
import tomllib
from pathlib import Path
from typing import Any

import pytest

from leverdoor.entry.wire import UnreadableReport
from leverdoor.errors import SettingsError
from leverdoor.limits.advertised import UnreadableLimit
from leverdoor.model.resources import (
    ClientLimits,
    Drain,
    Route,
    Service,
    Target,
    WorkClass,
)
from leverdoor.platform.formats import (
    Translator,
    parse_leaving,
    parse_limit,
    parse_load,
    parse_rest,
)
from leverdoor.platform.settings import METRICS_PORT, parse_settings
from leverdoor.storage.store import KeyValue

PACKAGE = Path(__file__).parent.parent / "leverdoor"
PLATFORM_NAMES = re.compile(
    r"X-(Request-Id|Deadline-Ms|Affinity-Key|Expect-Instance|Server-Stamp"
    r"|Not-Executed|Server-Load|Cold-Ms|Instance-Id|Credential|Tenant)|kv-(key|range|watch|txn|lease)"
    r"|Server-Limit|Server-Leaving|private-key|op/config|op/evacuate|api/readiness|api/resolve"
    r"|LEVERDOOR_SETTINGS|fleetbench",
    re.IGNORECASE,
)
ZONES = {"a1": "a", "a2": "a", "b1": "b"}
CONFIG: dict[str, Any] = {
    "version": "0000000c",
    "routes": [
        {
            "name": "r-1",
            "host": "h.example",
            "path-prefix": "/p/",
            "kind": "unsafe",
            "timeout-ms": 2500,
            "target-latency-ms": 600,
            "priority": 1,
            "service": "s1",
            "max-attempts": 2,
            "session-affinity": True,
            "home-regions": ["a"],
            "a-field-of-tomorrow": 1,
        },
        {
            "name": "r-2",
            "host": "h.example",
            "path-prefix": "/q/",
            "kind": "upload",
            "traffic-split": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
        },
    ],
    "services": [
        {"name": "s1", "health-check-path": "/health", "warmup-per-s": 11.0},
        {"name": "s2", "connection-limit": 390},
    ],
    "limits": {"max-body-bytes": 5, "idle-timeout-ms": 15000.0},
}
REGISTRATION = {
    "service": "s1",
    "address": "10.0.0.9:80",
    "zone": "a2",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence": 4,
}


def entries(**more: object) -> dict[str, KeyValue]:
    found = {"op/config": CONFIG, "servers/i-1": REGISTRATION, **more}
    return {
        k: KeyValue(k, json.dumps(v).encode(), i + 2)
        for i, (k, v) in enumerate(found.items())
    }


def test_configuration_is_translated_to_resources() -> None:
    configured = Translator(ZONES)(entries())
    assert configured.version == "0000000c"
    routes = [r for r in configured.resources if isinstance(r, Route)]
    assert routes[0] == Route(
        name="r-1",
        host="h.example",
        prefix="/p/",
        work=WorkClass.ONCE,
        services={"s1": 1.0},
        timeout_ms=2500,
        target_latency_ms=600,
        priority=1,
        attempts=2,
        affinity=True,
        homes=["a"],
    )
    assert routes[1].services == {"s1": 90.0, "s2": 10.0}
    assert routes[1].work is WorkClass.BULK
    services = [r for r in configured.resources if isinstance(r, Service)]
    assert (services[0].warmup_per_s, services[1].connections) == (11.0, 390)
    limits = [r for r in configured.resources if isinstance(r, ClientLimits)]
    assert (limits[0].body_bytes, limits[0].idle_timeout_ms) == (5, 15_000)


def test_targets_and_evacuations_are_translated_to_resources() -> None:
    configured = Translator(ZONES)(
        entries(
            **{
                "servers/i-2": {
                    **REGISTRATION,
                    "state": "draining",
                    "cold-remaining-ms": 900.5,
                },
                "op/evacuate/b1": {},
                "leverdoor/entries/n1": "x",
            }
        )
    )
    targets = {r.name: r for r in configured.resources if isinstance(r, Target)}
    assert (targets["i-1"].region, targets["i-1"].domain) == ("a", "a2")
    assert (targets["i-1"].draining, targets["i-2"].draining) == (False, True)
    assert targets["i-2"].cold_ms == 900
    assert [r.domain for r in configured.resources if isinstance(r, Drain)] == ["b1"]
    assert list(configured.peers) == ["n1"]


def test_unreadable_document_keeps_previous_configuration() -> None:
    translate = Translator(ZONES)
    translate(entries())
    broken = entries(**{"servers/i-2": {"zone": 3}})
    broken["op/config"] = KeyValue("op/config", b'{"version":', 99)
    configured = translate(broken)
    assert configured.version == "0000000c"
    assert [r.name for r in configured.resources if isinstance(r, Target)] == ["i-1"]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("3,0,8", (2, 0, 8)),
        ("3, 1, 8", (2, 1, 8)),
        ("0,0,8", (0, 0, 8)),
        ("", None),
        ("3,0", None),
        ("-1,0,8", None),
        ("a,b,c", None),
        ("3,\u00b2,8", None),
        ("3,\u0663,8", None),
        ("3,0," + "9" * 5_000, None),
    ],
)
def test_reported_load_excludes_the_answered_request(
    text: str, expected: tuple[int, int, int] | None
) -> None:
    load = parse_load(text)
    found = None if load is None else (load.running, load.waiting, load.slots)
    assert found == expected


SETTINGS: dict[str, Any] = {
    "node-name": "n1",
    "ip-address": "10.0.0.1",
    "zone": "a1",
    "region": "a",
    "zones": ZONES,
    "listen-addresses": {
        "frontend": "10.0.0.1:8381",
        "ready": "10.0.0.1:8388",
        "directory": "10.0.0.1:8383",
    },
    "internal-port-range": [7200, 7215],
    "platform": {"address": "10.9.9.9:8384", "form": "kv"},
    "bounds": {"grace-period-s": 7, "retry-budget-ratio": 0.3, "max-shift": 0.1},
    "unknown": {"of": "tomorrow"},
}


def test_settings_are_converted_to_entry_settings() -> None:
    settings = parse_settings(json.dumps(SETTINGS).encode())
    entry = settings.entry()
    assert str(entry.front) == "10.0.0.1:8381"
    assert str(entry.gossip) == "10.0.0.1:7200"
    assert (entry.grace_s, entry.repeat_ratio, entry.max_shift) == (7, 0.3, 0.1)
    assert entry.domain == "a1"


@pytest.mark.parametrize(
    ("contracts", "waits"),
    [(None, False), (["base", "quota"], False), (["base", "pressure"], True)],
)
def test_requests_wait_for_room_only_if_the_settings_ask_for_it(
    contracts: list[str] | None, waits: bool
) -> None:
    named = {} if contracts is None else {"contracts": contracts}
    settings = parse_settings(json.dumps({**SETTINGS, **named}).encode())
    assert settings.entry().waits_for_room is waits


@pytest.mark.parametrize("field", ["node-name", "platform", "listen-addresses"])
def test_error_names_missing_setting(field: str) -> None:
    wrong = {k: v for k, v in SETTINGS.items() if k != field}
    with pytest.raises(SettingsError, match=field):
        parse_settings(json.dumps(wrong).encode())


def test_metrics_port_matches_deploy_file() -> None:
    """The internal port range differs by deployment; the metrics port is fixed."""
    deploy = tomllib.loads((PACKAGE.parent / "deploy" / "system.toml").read_text())
    assert deploy["roles"]["entry"]["metrics"] == f"{METRICS_PORT}/metrics"
    for first in (7080, 7520):
        moved = {**SETTINGS, "internal-port-range": [first, first + 15]}
        entry = parse_settings(json.dumps(moved).encode()).entry()
        assert entry.metrics.port == METRICS_PORT
        assert entry.gossip.port == first


def test_only_platform_package_uses_platform_names() -> None:
    """The stand-ins are excluded because they emulate the platform."""
    allowed = (PACKAGE / "platform", PACKAGE / "standins")
    offending = [
        str(path.relative_to(PACKAGE))
        for path in PACKAGE.rglob("*.py")
        if not path.is_relative_to(allowed[0]) and not path.is_relative_to(allowed[1])
        if PLATFORM_NAMES.search(path.read_text())
    ]
    assert offending == []


@pytest.mark.parametrize(
    ("values", "per_s"),
    [([], None), (["3.5"], 3.5), (["0"], 0.0), (["0.5"], 0.5), (["50"], 50.0)],
)
def test_plain_decimal_limit_is_parsed(values: list[str], per_s: float | None) -> None:
    assert parse_limit(values) == per_s


@pytest.mark.parametrize(
    "values",
    [
        [""],
        ["soon"],
        ["-1"],
        ["+1"],
        ["nan"],
        ["inf"],
        ["1e400"],
        ["1e2"],
        ["0x10"],
        ["1,5"],
        [".5"],
        ["3."],
        ["1" * 400],
        ["\u0663"],
        ["3", "4"],
        ["3", "3"],
    ],
)
def test_invalid_limit_is_rejected_and_never_zero(
    values: list[str],
) -> None:
    with pytest.raises(UnreadableLimit):
        parse_limit(values)


@pytest.mark.parametrize(
    ("values", "leaves"),
    [([], False), (["1"], True), ([" 1 "], True), (["0"], False), (["1", "1"], True)],
)
def test_leaving_header_is_parsed(values: list[str], leaves: bool) -> None:
    assert parse_leaving(values) is leaves


@pytest.mark.parametrize(
    "values", [[""], ["yes"], ["true"], ["2"], ["-1"], ["01"], ["1", "0"], ["1,1"]]
)
def test_invalid_leaving_header_is_rejected(values: list[str]) -> None:
    with pytest.raises(UnreadableReport):
        parse_leaving(values)


@pytest.mark.parametrize(
    ("status", "values", "rest_s"),
    [
        (503, [], None),
        (503, ["3"], 3.0),
        (503, [" 2.5 "], 2.5),
        (503, ["0"], 0.0),
        (503, ["9" * 400], math.inf),
        (429, ["3"], None),
        (200, ["3"], None),
        (200, ["soon"], None),
    ],
)
def test_pause_is_parsed_only_with_status_503(
    status: int, values: list[str], rest_s: float | None
) -> None:
    assert parse_rest(status, values) == rest_s


@pytest.mark.parametrize(
    "values",
    [
        [""],
        ["-3"],
        ["+3"],
        ["nan"],
        ["inf"],
        ["1e3"],
        ["0x10"],
        ["soon"],
        ["Thu, 03 Dec 2026 11:00:00 GMT"],
        ["3", "3"],
        ["3, 4"],
        ["\u0663"],
    ],
)
def test_invalid_pause_is_rejected(values: list[str]) -> None:
    with pytest.raises(UnreadableReport):
        parse_rest(503, values)
