# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Bytes that another program wrote are read, or rejected by the error of their reader.

Any other error would end the loop that reads them, or a start.
"""

import asyncio
import base64
from collections.abc import Callable
from pathlib import Path
from random import Random
from unittest.mock import Mock

import msgspec
import pytest
from aiohttp.test_utils import make_mocked_request
from hypothesis import given, settings
from hypothesis import strategies as st

from leverdoor import codec
from leverdoor.agent.api import _parse_condition, _parse_number
from leverdoor.analysis.log_lines import parse_log
from leverdoor.entry.membership.member import Member
from leverdoor.entry.quarantine_records import QuarantineRecords
from leverdoor.entry.requests.connection import TargetConnection
from leverdoor.entry.requests.connection_pool import (
    DEFAULT_IDLE_TIMEOUT_S,
    _idle_timeout_s,
)
from leverdoor.errors import ConfigError, LeverdoorError, StoreUnavailable
from leverdoor.http.reply_proof import ReplyNames
from leverdoor.membership.ownership import Table, parse_table
from leverdoor.model.resources import parse_resource, parse_resources
from leverdoor.platform.formats import CONFIG_KEY, Translator, describe_record
from leverdoor.platform.registrations import (
    AllowedReferences,
    InvalidRegistrationError,
    parse_registration,
)
from leverdoor.platform.settings import parse_settings
from leverdoor.platform.store import _parse_era, _parse_response, _WatchResponse
from leverdoor.quarantine.fingerprint import fingerprint_text
from leverdoor.quarantine.records import parse_record
from leverdoor.storage.configuration import _parse_guard
from leverdoor.storage.etcd import _events
from leverdoor.storage.history import parse_marker
from leverdoor.storage.state import Delta
from leverdoor.storage.store import KeyValue
from leverdoor.storage.vm_list_client import parse_vms

ZONES = {"a1": "a"}
DEEP = b"[" * 100_000
DEEP_OBJECT = b'{"x":' * 100_000
DIGITS = b"9" * 5_000

VALUES = [
    DEEP,
    DEEP + b"]" * 100_000,
    DEEP_OBJECT,
    DIGITS,
    b"-" + DIGITS,
    b"1e999",
    b"-1e999",
    b"NaN",
    b"-1",
    b"1.5",
    b"null",
    b'"%s"' % DIGITS,
    b'"' + b"x" * 1_000_000 + b'"',
    '"٣"'.encode(),
    '"²"'.encode(),
    b'"\xff"',
    b'"\\ud800"',
    b"\xff\xfe",
    b"",
]
"""JSON values, and bytes that are none."""
FIELDS = [
    "version",
    "service",
    "sequence",
    "state",
    "slots",
    "cold-remaining-ms",
    "address",
    "held_at_ms",
    "first_s",
    "tries",
    "entry",
    "era",
    "id",
    "routes",
    "limits",
    "tenants",
    "writes",
    "result",
    "unknown",
]


def harmful() -> list[bytes]:
    fields = [b'{"%s": %s}' % (name.encode(), v) for name in FIELDS for v in VALUES]
    packed = [
        b"\x91" * 100_000,
        b"\x81\xa1x" * 100_000,
        b"\xdd\xff\xff\xff\xff",
        b"\xc1",
    ]
    return [*VALUES, *fields, *packed]


def apply_config(data: bytes) -> None:
    Translator(ZONES)({CONFIG_KEY: KeyValue(CONFIG_KEY, data, 1)})


def take_record(data: bytes) -> None:
    records = QuarantineRecords(
        Mock(), Mock(), Mock(), "n1", Mock(), Random(1), lambda: True
    )
    text = fingerprint_text(7)
    records.take({text: KeyValue(f"q/{text}", data, 1)}, 1.0)


def read_guard(data: bytes) -> None:
    _parse_guard(KeyValue("g", data, 1))


def read_registration(data: bytes) -> None:
    allowed = AllowedReferences(ZONES, {"look"})
    parse_registration("t", data, allowed)


READERS: list[tuple[Callable[[bytes], object], tuple[type[Exception], ...]]] = [
    (apply_config, ()),
    (take_record, ()),
    (read_guard, ()),
    (read_registration, (InvalidRegistrationError,)),
    (lambda data: describe_record(CONFIG_KEY, data), ()),
    (lambda data: describe_record("servers/t", data), ()),
    (parse_record, (msgspec.MsgspecError,)),
    (parse_marker, (msgspec.MsgspecError,)),
    (parse_vms, (ConfigError,)),
    (parse_settings, (LeverdoorError,)),
    (parse_table, (msgspec.MsgspecError,)),
    (parse_resource, (LeverdoorError,)),
    (parse_resources, (LeverdoorError,)),
    (_events, (LeverdoorError,)),
    (lambda data: _parse_response(data, _WatchResponse), (LeverdoorError,)),
    (lambda data: codec.unpack(data, Delta), (msgspec.MsgspecError,)),
    (lambda data: codec.unpack(data, Member), (msgspec.MsgspecError,)),
    (lambda data: codec.unpack(data, Table), (msgspec.MsgspecError,)),
    (lambda data: parse_log([data.decode("latin-1")]), ()),
]
"""Functions that read bytes of others, and the errors by which they reject them."""


@pytest.mark.parametrize("number", range(len(READERS)))
def test_no_reader_of_foreign_bytes_raises_another_error_than_its_own(
    number: int,
) -> None:
    """A deeply nested record of a quarantine ended every loop that read the store."""
    read, errors = READERS[number]
    for data in harmful():
        try:
            read(data)
        except errors:
            continue


@pytest.mark.parametrize("number", range(len(READERS)))
@given(data=st.binary(max_size=200))
@settings(max_examples=100)
def test_no_reader_of_random_bytes_raises_another_error_than_its_own(
    number: int, data: bytes
) -> None:
    read, errors = READERS[number]
    try:
        read(data)
    except errors:
        return


def test_a_key_of_another_writer_that_is_not_utf8_is_read() -> None:
    key = base64.b64encode(b"/leverdoor/\xff")
    line = (
        b'{"result":{"header":{"revision":"2"},"events":[{"kv":{"key":"%s"}}]}}' % key
    )
    assert len(_events(line)) == 1


def test_a_configuration_that_cannot_be_read_keeps_the_last_one() -> None:
    translator = Translator(ZONES)
    good = b'{"version": "1", "services": [{"name": "look"}]}'
    translator({CONFIG_KEY: KeyValue(CONFIG_KEY, good, 1)})
    deep = b'{"version": "2", "unknown": ' + DEEP + b"}"
    contents = translator({CONFIG_KEY: KeyValue(CONFIG_KEY, deep, 2)})
    assert contents.version == "1"


def test_only_the_codec_calls_the_decoder() -> None:
    """Each caller of its own would have to know all errors of the library."""
    root = Path(codec.__file__).parent
    calls = ("json.decode(", "msgpack.decode(", "json.loads(", "Decoder(")
    found = {
        str(path.relative_to(root))
        for path in root.rglob("*.py")
        if "standins" not in path.parts
        and any(call in path.read_text() for call in calls)
    }
    assert found == {"codec.py"}


@pytest.mark.parametrize("digits", ["9" * 5_000, "²", "٣", "-1", "1e999", "NaN", ""])
def test_no_number_of_a_header_raises_another_error_than_its_readers(
    digits: str,
) -> None:
    """A Keep-Alive of 5,000 digits turned each answer of its target into 502."""
    assert _idle_timeout_s(f"timeout={digits}") == DEFAULT_IDLE_TIMEOUT_S
    with pytest.raises(StoreUnavailable):
        _parse_era(digits)
    request = make_mocked_request(
        "GET", f"/?since={digits}", {"If-Match": digits or "x"}
    )
    with pytest.raises(ConfigError):
        _parse_number(request, "since", 0)
    with pytest.raises(ConfigError):
        _parse_condition(request)


async def test_a_reply_is_whole_though_its_report_cannot_be_processed() -> None:
    """An answer that promised not to have run became 502."""

    def fail(reply: object) -> None:
        raise ValueError("report")

    connection = TargetConnection(fail)
    connection.connection_made(Mock(spec=asyncio.Transport))
    names = ReplyNames("x-id", not_run="x-not-run")
    sent = asyncio.ensure_future(connection.exchange(b"", b"", "1", names, False))
    await asyncio.sleep(0)
    head = b"HTTP/1.1 503 No\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    connection.data_received(head)
    assert (await sent).status == 503
