# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which registrations of targets are used, whoever wrote them.

What was seen: registrations with an address that is no host and port, an unknown
failure domain, a service that no configuration names, no state, a thousand million
slots or minus three were taken for targets; one that can't be read cost a log line at
each translation. Cause: fields were decoded by type alone, with defaults for those
that were missing.
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
from leverdoor.model.resources import Target
from leverdoor.platform.formats import Translator
from leverdoor.settings import parse_address
from leverdoor.storage.store import KeyValue

ZONES = {"a1": "a", "b1": "b"}
CONFIG = {"version": "00000001", "services": [{"name": "s1"}], "routes": []}
SOUND: dict[str, Any] = {
    "service": "s1",
    "address": "10.0.0.9:80",
    "zone": "a1",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence": 4,
}


def store(config: object = CONFIG, **servers: bytes) -> dict[str, KeyValue]:
    """Return the keys of a store; `x` stands for the key of target `x`."""
    found = {"op/config": json.dumps(config).encode()}
    found |= {f"servers/{name}": data for name, data in servers.items()}
    return {k: KeyValue(k, v, i + 2) for i, (k, v) in enumerate(found.items())}


def written(**fields: object) -> bytes:
    return json.dumps(SOUND | fields).encode()


def targets(configured: StoreContents) -> dict[str, Target]:
    return {r.name: r for r in configured.resources if isinstance(r, Target)}


def test_a_sound_registration_is_used() -> None:
    found = Translator(ZONES)(store(x=written(born=1_700_000_000_000, cold=1)))
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
def test_what_is_unusual_and_sound_is_used(fields: dict[str, object]) -> None:
    assert set(targets(Translator(ZONES)(store(x=written(**fields))))) == {"x"}


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
def test_what_names_no_target_is_left_out_and_the_others_hold(
    cause: str, fields: dict[str, object]
) -> None:
    found = Translator(ZONES)(store(x=written(**fields), y=written()))
    assert set(targets(found)) == {"y"}
    assert [(one.name, one.cause) for one in found.left_out] == [("x", cause)]


@pytest.mark.parametrize("field", SOUND)
def test_each_field_must_be_there(field: str) -> None:
    data = {key: value for key, value in SOUND.items() if key != field}
    found = Translator(ZONES)(store(x=json.dumps(data).encode(), y=written()))
    assert set(targets(found)) == {"y"}


def test_bytes_that_are_no_document_are_left_out() -> None:
    bad = {
        "a": b"",
        "b": b"null",
        "c": b"[1]",
        "d": b"\xff\xfe",
        "e": b'{"x":',
        "f": b"[" * 100_000,
    }
    found = Translator(ZONES)(store(**bad, y=written()))
    assert set(targets(found)) == {"y"}
    assert {one.name for one in found.left_out} == set(bad)


@pytest.mark.parametrize(
    "name", ["", "a b", "a\r\nX-Credential: k", "\u00e9", "x" * 201]
)
def test_a_name_that_fits_no_header_is_left_out(name: str) -> None:
    found = Translator(ZONES)(store(**{name: written(), "y": written()}))
    assert set(targets(found)) == {"y"}


def test_one_that_turns_bad_is_not_kept_in_use() -> None:
    translate = Translator(ZONES)
    assert set(targets(translate(store(x=written())))) == {"x"}
    entries = store(x=written(address="gone"))
    entries["servers/x"] = msgspec.structs.replace(entries["servers/x"], revision=99)
    assert targets(translate(entries)) == {}


def test_a_service_that_is_configured_later_brings_its_targets() -> None:
    translate = Translator(ZONES)
    entries = store(x=written(service="s2"))
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
        | st.dictionaries(st.sampled_from(list(SOUND)), inner, max_size=8)
    ),
    max_leaves=12,
)
NEARLY_SOUND = st.builds(
    lambda field, value: SOUND | {field: value}, st.sampled_from(list(SOUND)), ANY_JSON
)
ANY_VALUE = st.binary(max_size=200) | (ANY_JSON | NEARLY_SOUND).map(
    lambda value: json.dumps(value).encode()
)
PREFIXES = ("servers/", "op/", "op/evacuate/", "leverdoor/entries/")


FOREIGN = st.dictionaries(
    st.tuples(st.sampled_from(PREFIXES), st.text(max_size=12)), ANY_VALUE, max_size=8
)


@given(FOREIGN, ANY_VALUE)
def test_whatever_stands_in_the_store_nothing_raises_and_the_sound_hold(
    foreign: dict[tuple[str, str], bytes], configuration: bytes
) -> None:
    translate = Translator(ZONES)
    translate(store(y=written()))
    entries = store(y=written())
    for number, ((prefix, name), value) in enumerate(foreign.items(), 100):
        key = prefix + name
        if key not in entries:
            entries[key] = KeyValue(key, value, number)
    found = translate(entries)
    assert "y" in targets(found)
    entries["op/config"] = KeyValue("op/config", configuration, 99)
    translate(entries)
    carry(list(targets(found).values()), found)


def carry(taken: list[Target], found: StoreContents) -> None:
    """All that carries a target takes each that is used."""
    catalog = Catalog(1, found.version, found.resources)
    lists = TargetCountCodec()
    lists.renew(catalog.target_names_by_region)
    counts = {t.name: 3 for t in taken}
    member = Member("n", "a", "a1", "f", "g", "p", 1)
    heartbeat = EntryHeartbeat(member, 1, SERVING, 1, counts)
    assert unpack(pack(heartbeat), EntryHeartbeat) == heartbeat
    for region in lists.regions():
        parsed = lists.parse(lists.serialize(region, counts))
        assert parsed == {t.name: 3 for t in taken if t.region == region}
    for target in taken:
        parse_address(target.address)
        target.name.encode("latin-1")


class Lines:
    """Events that count lines in place of writing them."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, str, str, int]] = []

    def registration_left_out(self, *fields: Any) -> None:
        self.lines.append(fields)


def test_a_bad_value_is_logged_once_and_counted_while_it_stays() -> None:
    lines, metrics = Lines(), EntryMetrics()
    report = LeftOutReporter(lines, metrics)  # type: ignore[arg-type]
    bad = LeftOutRegistration("x", "address", "''", 3)
    for moment in range(5):
        report.take([bad], float(moment))
    assert [line[0] for line in lines.lines] == ["x"]
    assert b'registrations_left_out{cause="address"} 1.0' in metrics.text()
    report.take([msgspec.structs.replace(bad, revision=4)], 6.0)
    assert len(lines.lines) == 2
    report.take([], 7.0)
    assert b"registrations_left_out{" not in metrics.text()


def test_a_writer_of_bad_values_fills_no_log() -> None:
    lines = Lines()
    report = LeftOutReporter(lines, EntryMetrics())  # type: ignore[arg-type]
    for number in range(500):
        report.take([LeftOutRegistration("x", "address", "''", number)], number / 10)
    assert len(lines.lines) == MAX_LINES_PER_MINUTE
    report.take([LeftOutRegistration("x", "address", "''", 900)], 61.0)
    assert lines.lines[-1][3] == 500 - MAX_LINES_PER_MINUTE
