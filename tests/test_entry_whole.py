# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""End-to-end tests of entry processes: requests, configuration, stops, settings."""

import asyncio
import hashlib
import json
import signal
import zlib

from entry_bench import (
    check_own,
    check_promises,
    until_in_force,
)
from leverdoor.codec import pack, unpack
from leverdoor.platform.settings import METRICS_PORT
from leverdoor.sessions import new_session
from leverdoor.standins.entry_site import SAMPLE_ROUTES, Answer, EntrySite
from leverdoor.standins.metadata import MetadataFaults
from leverdoor.storage.state import Delta


async def test_requests_pass_from_client_to_target(site: EntrySite) -> None:
    n1 = site.entries["n1"]
    resolved = await site.resolve(n1)
    assert set(resolved) <= {e.ports["frontend"] for e in site.entries.values()}
    assert n1.ports["frontend"] in resolved
    fetched = await site.request(
        n1, "GET", "/look/x?q=%2F&r", headers={"X-Affinity-Key": "17"}
    )
    check_own(fetched)
    assert fetched.status == 200
    body = b"complaint" * 1000
    filed = await site.request(n1, "POST", "/file/y", body)
    assert json.loads(filed.body)["digest"] == hashlib.sha256(body).hexdigest()
    runs_by_id = {r.request_id: r for t in site.targets.values() for r in t.runs}
    assert runs_by_id[fetched.request_id].path == "/look/x?q=%2F&r"
    assert 0 < runs_by_id[fetched.request_id].deadline_ms <= 2000
    assert (await site.request(n1, "GET", "/nowhere/")).status == 404


async def test_configuration_reaches_all_entries_and_is_not_reverted(
    site: EntrySite,
) -> None:
    added = {**SAMPLE_ROUTES[0], "name": "new", "path-prefix": "/new/"}
    site.configure([*SAMPLE_ROUTES, added])
    await until_in_force(site, "/new/x", 200)
    site.store.forget_history()
    site.configure(SAMPLE_ROUTES)
    await until_in_force(site, "/new/x", 404)
    for entry in site.entries.values():
        versions = [
            str(e["version"]) for e in entry.events() if e["event"] == "configuration"
        ]
        assert versions == sorted(versions)


async def test_store_is_followed_again_after_silence(site: EntrySite) -> None:
    site.store.faults = MetadataFaults(silent=True)
    assert (await site.request(site.entries["n1"], "GET", "/look/x")).status == 200
    site.store.faults = MetadataFaults()
    site.configure(SAMPLE_ROUTES[1:])
    await until_in_force(site, "/look/x", 404)


async def test_targets_unregistered_in_outage_expire_before_removal(
    site: EntrySite,
) -> None:
    entries = list(site.entries.values())

    async def until_logged(field: str) -> None:
        """Wait until every entry has logged every target in a field."""
        while not all(
            {n for e in entry.events() for n in e.get(field, [])} >= set(site.targets)  # type: ignore[attr-defined]
            for entry in entries
        ):
            await asyncio.sleep(0.02)

    site.store.faults = MetadataFaults(busy=503)
    while not all(
        any(e.get("change") == "lost" for e in entry.events()) for entry in entries
    ):
        # Wait for each entry: the outage does not affect calls already waiting.
        await asyncio.sleep(0.02)
    for name in site.targets:
        site.store.remove(f"servers/{name}")
    site.store.faults = MetadataFaults()
    await until_logged("expired")
    await until_logged("gone")
    for entry in entries:
        fields = [
            f
            for e in entry.events()
            if e["event"] == "targets"
            for f in ("expired", "gone")
            if e[f]
        ]
        assert fields[0] == "expired"


async def test_start_with_running_peers_makes_few_store_calls(
    site: EntrySite,
) -> None:
    """The state comes from a peer, and the previous process's lease is adopted.

    Otherwise each start makes five calls or more: it lists all keys, writes a lease and
    a key, and watches. At 195 entries these were most of the store's calls.
    """
    while not all(
        any(e.get("change") == "registered" for e in entry.events())
        for entry in site.entries.values()
    ):
        await asyncio.sleep(0.02)
    # Restart n2: n1 is in its region. n3 is alone in its region and lists the keys
    # itself. Of n1 and n2, one has the wider link.
    entry = site.entries["n2"]
    before = dict(site.store.calls)
    entry.send(signal.SIGKILL)
    await entry.ended()
    await entry.start()
    await site.ready(entry)
    while not any(e.get("change") == "registration adopted" for e in entry.events()):
        await asyncio.sleep(0.02)
    assert site.store.calls["kv-lease"] == before["kv-lease"]
    assert site.store.calls["kv-range stale"] == before["kv-range stale"] + 1


async def test_planned_stop_loses_no_requests(site: EntrySite) -> None:
    n1, n2 = site.entries["n1"], site.entries["n2"]
    answers: list[Answer] = []
    post_ids: set[str] = set()
    stopping = asyncio.Event()

    async def client(number: int) -> None:
        for i in range(40):
            request_id = f"{number:08x}{i:08x}"
            entry = n2 if stopping.is_set() else n1
            post_ids.add(request_id)
            answers.append(
                await site.request(entry, "POST", "/file/x", b"x", None, request_id)
            )

    clients = [asyncio.create_task(client(i)) for i in range(4)]
    while len(answers) < 20:
        await asyncio.sleep(0.005)
    n1.send(signal.SIGTERM)
    while await site.is_ready(n1):
        await asyncio.sleep(0.005)
    stopping.set()
    await asyncio.gather(*clients)
    assert await n1.ended() == 0
    assert 0 not in {a.status for a in answers}
    check_promises(site, answers, post_ids)
    assert n1.ports["frontend"] not in await site.resolve(n2)


async def test_draining_target_receives_nothing_once_in_force(
    site: EntrySite,
) -> None:
    site.drain_target("i-look-a1-0")
    revision = site.store.revision
    added = {**SAMPLE_ROUTES[0], "name": "new", "path-prefix": "/new/"}
    site.configure([*SAMPLE_ROUTES, added])
    assert site.store.revision > revision
    await until_in_force(site, "/new/x", 200)
    before = len(site.targets["i-look-a1-0"].runs)
    for i in range(30):
        for entry in site.entries.values():
            headers = {"X-Affinity-Key": str(i)}
            answer = await site.request(entry, "GET", "/look/x", None, headers)
            assert answer.status == 200
    assert len(site.targets["i-look-a1-0"].runs) == before


async def test_metrics_are_served(site: EntrySite) -> None:
    n1 = site.entries["n1"]
    await site.request(n1, "GET", "/look/x")
    host = n1.ports["frontend"].split(":")[0]
    answer = await site._ask("GET", f"http://{host}:{METRICS_PORT}/metrics")
    text = answer.body.decode()
    assert (
        'leverdoor_entry_request_seconds_count{outcome="200",service="look"} 1' in text
    )


async def test_settings_reload_keeps_the_entry_running(site: EntrySite) -> None:
    n1 = site.entries["n1"]
    settings = json.loads(n1.settings.read_bytes())
    settings["bounds"] = {"retry-budget-ratio": 0.1, "of-tomorrow": 1}
    n1.settings.write_text(json.dumps(settings))
    n1.send(signal.SIGHUP)
    for _ in range(1000):
        reloads = [e for e in n1.events() if e.get("change") == "reload"]
        if reloads:
            break
        await asyncio.sleep(0.01)
    assert reloads[0]["changed"] == ["repeat_ratio"]
    n1.settings.write_text("{")
    n1.send(signal.SIGHUP)
    assert (await site.request(n1, "GET", "/look/x")).status == 200
    assert n1.running


async def test_missing_setting_ends_start_with_its_name_logged(
    site: EntrySite,
) -> None:
    n1 = site.entries["n1"]
    n1.send(signal.SIGTERM)
    await n1.ended()
    settings = json.loads(n1.settings.read_bytes())
    del settings["listen-addresses"]["ready"]
    n1.settings.write_text(json.dumps(settings))
    await n1.start()
    assert await n1.ended() == 2
    assert b"`ready`" in n1.log.read_bytes().splitlines()[-1]


async def test_long_delta_is_compressed(site: EntrySite) -> None:
    many = [
        {**SAMPLE_ROUTES[0], "name": f"r{i}", "path-prefix": f"/r{i}/"}
        for i in range(300)
    ]
    site.configure([*SAMPLE_ROUTES, *many])
    await until_in_force(site, "/r299/x", 200)
    host, port = site.entries["n1"].ports["ready"].split(":")
    url = f"http://{host}:{int(port) + 3}/v1/internal/state?since=0"
    async with new_session(5.0) as session, session.get(url) as answer:
        data = await answer.read()
    assert answer.headers["Content-Encoding"] == "deflate"
    delta = unpack(zlib.decompress(data), Delta)
    assert len(data) < len(pack(delta)) / 5
