# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of the validation of target registrations.

If fields are decoded by type alone and missing ones get defaults, a registration with
an invalid address, an unknown failure domain or service, no state, 1,000,000,000 slots
or -3 slots becomes a target. If rejections are not remembered, an unreadable
registration causes a log line at each translation.
"""

import json
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from leverdoor.codec import pack, unpack
from leverdoor.entry.configuration.catalog import Catalog
from leverdoor.entry.configuration.left_out import MAX_LINES_PER_MINUTE, LeftOutReporter
from leverdoor.entry.exchange.messages import EntryHeartbeat
from leverdoor.entry.exchange.target_counts import TargetCountCodec
from leverdoor.entry.membership.member import SERVING, Member
from leverdoor.entry.metrics import EntryMetrics
from leverdoor.entry.wire import LeftOutRegistration, StoreContents
from leverdoor.model.position import position_without_era
from leverdoor.model.resources import Target
from leverdoor.platform.formats import Translator
from leverdoor.settings import parse_address
from leverdoor.storage.store import KeyValue

ZONES = {"a1": "a", "b1": "b"}
CONFIG = {"version": "00000001", "services": [{"name": "s1"}], "routes": []}
VALID: dict[str, Any] = {
    "service": "s1",
    "address": "10.0.0.9:80",
    "zone": "a1",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence": 4,
}


def make_store(config: object = CONFIG, **servers: bytes) -> dict[str, KeyValue]:
    """Return the contents of a store; each keyword is the name of a target."""
    found = {"op/config": json.dumps(config).encode()}
    found |= {f"servers/{name}": data for name, data in servers.items()}
    return {k: KeyValue(k, v, i + 2) for i, (k, v) in enumerate(found.items())}


def encode_registration(**fields: object) -> bytes:
    return json.dumps(VALID | fields).encode()


def targets(configured: StoreContents) -> dict[str, Target]:
    return {r.name: r for r in configured.resources if isinstance(r, Target)}


def test_valid_registration_is_accepted() -> None:
    # `cold` is an unknown field, which is ignored.
    found = Translator(ZONES)(
        make_store(x=encode_registration(born=1_700_000_000_000, cold=1))
    )
    assert found.left_out == []
    assert targets(found)["x"] == Target(
        name="x", service="s1", region="a", domain="a1", address="10.0.0.9:80", slots=9
    )


@pytest.mark.parametrize(
    "fields",
    [
        {"address": "[::1]:80"},
        {"address": "127.0.0.1:1"},
        {"address": "10.0.0.9:65535"},
        {"cold-remaining-ms": 900.5},
        {"state": "draining"},
        {"slots": 1},
        {"a-field-of-tomorrow": None},
    ],
)
def test_unusual_valid_registration_is_accepted(fields: dict[str, object]) -> None:
    assert set(
        targets(Translator(ZONES)(make_store(x=encode_registration(**fields))))
    ) == {"x"}


@pytest.mark.parametrize(
    ("cause", "fields"),
    [
        ("address", {"address": "records.example:80"}),
        ("address", {"address": "10.0.0.9"}),
        ("address", {"address": ""}),
        ("address", {"address": "10.0.0.9:0"}),
        ("address", {"address": "10.0.0.9:65536"}),
        ("address", {"address": "10.0.0.256:80"}),
        ("address", {"address": "0.0.0.0:80"}),
        ("address", {"address": "239.0.0.1:80"}),
        ("address", {"address": "10.0.0.9:80 "}),
        ("address", {"address": "10.0.0.9:\u0668\u0660"}),
        ("domain", {"zone": "z9"}),
        ("domain", {"zone": ""}),
        ("service", {"service": "s9"}),
        ("unreadable", {"service": 3}),
        ("unreadable", {"state": "resting"}),
        ("unreadable", {"state": None}),
        ("unreadable", {"slots": 10**9}),
        ("unreadable", {"slots": -3}),
        ("unreadable", {"slots": 0}),
        ("unreadable", {"slots": 2.5}),
        ("unreadable", {"slots": True}),
        ("unreadable", {"slots": "9"}),
        ("unreadable", {"cold-remaining-ms": -1}),
        ("unreadable", {"cold-remaining-ms": 1e300}),
        ("unreadable", {"cold-remaining-ms": "soon"}),
        ("unreadable", {"sequence": -1}),
        ("unreadable", {"sequence": 1.5}),
        ("unreadable", {"born": "yesterday"}),
        ("unreadable", {"born": 1.5}),
        ("unreadable", {"version": None}),
    ],
)
def test_invalid_registration_is_rejected_and_others_are_kept(
    cause: str, fields: dict[str, object]
) -> None:
    found = Translator(ZONES)(
        make_store(x=encode_registration(**fields), y=encode_registration())
    )
    assert set(targets(found)) == {"y"}
    assert [(one.name, one.cause) for one in found.left_out] == [("x", cause)]


@pytest.mark.parametrize("field", VALID)
def test_registration_without_required_field_is_rejected(field: str) -> None:
    data = {key: value for key, value in VALID.items() if key != field}
    found = Translator(ZONES)(
        make_store(x=json.dumps(data).encode(), y=encode_registration())
    )
    assert set(targets(found)) == {"y"}


def test_undecodable_registration_is_rejected() -> None:
    invalid = {
        "a": b"",
        "b": b"null",
        "c": b"[1]",
        "d": b"\xff\xfe",
        "e": b'{"x":',
        "f": b"[" * 100_000,
    }
    found = Translator(ZONES)(make_store(**invalid, y=encode_registration()))
    assert set(targets(found)) == {"y"}
    assert {one.name for one in found.left_out} == set(invalid)


@pytest.mark.parametrize(
    "name", ["", "a b", "a\r\nX-Credential: k", "\u00e9", "x" * 201]
)
def test_name_invalid_in_header_is_rejected(name: str) -> None:
    found = Translator(ZONES)(
        make_store(**{name: encode_registration(), "y": encode_registration()})
    )
    assert set(targets(found)) == {"y"}


def test_target_is_removed_when_registration_becomes_invalid() -> None:
    translate = Translator(ZONES)
    assert set(targets(translate(make_store(x=encode_registration())))) == {"x"}
    entries = make_store(x=encode_registration(address="gone"))
    entries["servers/x"] = msgspec.structs.replace(entries["servers/x"], revision=99)
    assert targets(translate(entries)) == {}


def test_targets_are_accepted_once_their_service_is_configured() -> None:
    translate = Translator(ZONES)
    entries = make_store(x=encode_registration(service="s2"))
    assert targets(translate(entries)) == {}
    routed = {**CONFIG, "routes": [_route("s2")]}
    entries["op/config"] = KeyValue("op/config", json.dumps(routed).encode(), 50)
    assert set(targets(translate(entries))) == {"x"}


def _route(service: str) -> dict[str, object]:
    return {
        "name": "r",
        "host": "h",
        "path-prefix": "/",
        "kind": "safe",
        "service": service,
    }


ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(list(VALID)), inner, max_size=8)
    ),
    max_leaves=12,
)
NEARLY_VALID = st.builds(
    lambda field, value: VALID | {field: value}, st.sampled_from(list(VALID)), ANY_JSON
)
ANY_VALUE = st.binary(max_size=200) | (ANY_JSON | NEARLY_VALID).map(
    lambda value: json.dumps(value).encode()
)
PREFIXES = ("servers/", "op/", "op/evacuate/", "leverdoor/entries/")


ARBITRARY_ITEMS = st.dictionaries(
    st.tuples(st.sampled_from(PREFIXES), st.text(max_size=12)), ANY_VALUE, max_size=8
)


@given(ARBITRARY_ITEMS, ANY_VALUE)
def test_arbitrary_store_contents_never_raise_and_keep_valid_targets(
    arbitrary_items: dict[tuple[str, str], bytes], configuration: bytes
) -> None:
    translate = Translator(ZONES)
    translate(make_store(y=encode_registration()))
    entries = make_store(y=encode_registration())
    for number, ((prefix, name), value) in enumerate(arbitrary_items.items(), 100):
        key = prefix + name
        if key not in entries:
            entries[key] = KeyValue(key, value, number)
    found = translate(entries)
    assert "y" in targets(found)
    entries["op/config"] = KeyValue("op/config", configuration, 99)
    translate(entries)
    check_encodable(list(targets(found).values()), found)


def check_encodable(accepted: list[Target], found: StoreContents) -> None:
    """Check that accepted targets can be encoded in every message."""
    catalog = Catalog(1, found.version, found.resources)
    lists = TargetCountCodec()
    lists.renew(catalog.target_names_by_region)
    counts = {t.name: 3 for t in accepted}
    member = Member("n", "a", "a1", "f", "g", "p", 1)
    heartbeat = EntryHeartbeat(member, 1, SERVING, 1, counts)
    assert unpack(pack(heartbeat), EntryHeartbeat) == heartbeat
    for region in lists.regions():
        parsed = lists.parse(lists.serialize(region, counts))
        assert parsed == {t.name: 3 for t in accepted if t.region == region}
    for target in accepted:
        parse_address(target.address)
        target.name.encode("latin-1")


class RecordedEvents:
    """Event log that records lines instead of writing them."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, str, str, int]] = []

    def registration_left_out(self, *fields: Any) -> None:
        self.lines.append(fields)


def test_invalid_registration_is_logged_once_and_counted_while_present() -> None:
    events, metrics = RecordedEvents(), EntryMetrics()
    report = LeftOutReporter(events, metrics)  # type: ignore[arg-type]
    invalid = LeftOutRegistration("x", "address", "''", position_without_era(3))
    for moment in range(5):
        report.take([invalid], float(moment))
    assert [line[0] for line in events.lines] == ["x"]
    assert b'registrations_left_out{cause="address"} 1.0' in metrics.text()
    changed = msgspec.structs.replace(invalid, position=position_without_era(4))
    report.take([changed], 6.0)
    assert len(events.lines) == 2
    report.take([], 7.0)
    assert b"registrations_left_out{" not in metrics.text()


def test_log_lines_for_invalid_registrations_are_rate_limited() -> None:
    events = RecordedEvents()
    report = LeftOutReporter(events, EntryMetrics())  # type: ignore[arg-type]
    for number in range(500):
        at = position_without_era(number)
        report.take([LeftOutRegistration("x", "address", "''", at)], number / 10)
    assert len(events.lines) == MAX_LINES_PER_MINUTE
    # The next window of 60 s has begun; the line counts those that were suppressed.
    at = position_without_era(900)
    report.take([LeftOutRegistration("x", "address", "''", at)], 61.0)
    assert events.lines[-1][3] == 500 - MAX_LINES_PER_MINUTE
