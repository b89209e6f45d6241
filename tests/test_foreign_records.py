# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Records of other writers in the store, live and beside a restart of real entries."""

import json
import signal

import pytest

from leverdoor.standins.entry_process import EntryProcess
from leverdoor.standins.entry_site import SAMPLE_ROUTES, EntrySite

pytestmark = pytest.mark.timeout(120)

DEEP = b'{"x":' * 100_000
DEEP_VALUE = b"[" * 100_000 + b"]" * 100_000
TARGET = (
    b'{"service": "look", "address": "%s", "zone": "a1", "version": "v1", "slots": %s,'
    b' "state": "ready", "cold-remaining-ms": %s, "sequence": %s}'
)
RECORDS = {
    "leverdoor/quarantine/0000000000000007": DEEP,
    "leverdoor/quarantine/0000000000000008": b'{"held_at_ms": 1e999, "first_s": NaN}',
    "leverdoor/entries/other": b"\x91" * 100_000,
    "op/evacuate/" + "x" * 100: DEEP,
    "servers/deep": DEEP,
    "servers/unclosed": TARGET % (b"127.0.0.1:9", DEEP, b"0", b"1"),
    "servers/number": TARGET % (b"127.0.0.1:9", b"9" * 5_000, b"1e999", b"1"),
    "servers/port": TARGET % (b"127.0.0.1:99999", b"4", b"0", b"1"),
    "servers/digits": TARGET % (b"127.0.0.1:" + b"9" * 5_000, b"4", b"0", b"1"),
}


async def served(site: EntrySite, entry: EntryProcess) -> list[int]:
    answers = [await site.request(entry, "GET", f"/look/{n}") for n in range(5)]
    return [answer.status for answer in answers]


async def test_odd_records_stop_no_entry_from_following_the_store_or_starting(
    site: EntrySite,
) -> None:
    """One deep record of a quarantine did both."""
    for key, value in RECORDS.items():
        site.store.put(key, value)
    entry = next(iter(site.entries.values()))
    routes = [
        *SAMPLE_ROUTES,
        SAMPLE_ROUTES[0] | {"name": "new", "path-prefix": "/new/"},
    ]
    config = json.dumps(
        {
            "version": "000000ff",
            "routes": routes,
            "services": [{"name": s} for s in ("look", "file")],
        }
    ).encode()
    deep = config[:-1] + b', "unknown": ' + DEEP_VALUE + b"}"
    site.store.put("op/config", deep)
    while (await site.request(entry, "GET", "/new/1")).status == 404:
        pass
    assert await served(site, entry) == [200] * 5
    entry.send(signal.SIGTERM)
    await entry.ended()
    await entry.start()
    await site.ready(entry)
    assert await served(site, entry) == [200] * 5
    failed = [e for e in entry.events() if "loop failed" in str(e.get("message"))]
    assert not failed
