# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What targets say of themselves in answers binds the entry that was told."""

import asyncio
import json

from entry_bench import LookUps
from leverdoor.standins.entry_site import EntrySite
from leverdoor.standins.soak.report_promise import arrivals_by_entry, report_breaches
from leverdoor.standins.upstreams import UpstreamStandin

SERVED_SHARE = 0.97
"""Least part of look-ups that is served while other targets have room."""
REST = "2.5"


def breaches(look_ups: LookUps, target: UpstreamStandin) -> list[str]:
    """Return how entries did not heed what a target said."""
    arrivals = arrivals_by_entry(target.arrivals, look_ups.senders)
    return list(report_breaches(target.name, arrivals, lambda *_: False))


async def test_a_target_that_said_that_it_leaves_gets_nothing_more(
    site: EntrySite,
) -> None:
    """The store goes on calling it ready."""
    look_ups = LookUps(site)
    leaving = site.targets["i-look-a1-0"]
    async with look_ups.running():
        await asyncio.sleep(1.0)
        leaving.leaving = "1"
        await asyncio.sleep(6.0)
    assert any(a.leaving for a in leaving.arrivals)
    assert breaches(look_ups, leaving) == []
    assert look_ups.served_share() >= SERVED_SHARE


async def test_a_target_that_asked_for_rest_is_left_alone_meanwhile(
    site: EntrySite,
) -> None:
    """Callers are served by the targets that have room."""
    look_ups = LookUps(site)
    resting = [site.targets["i-look-a1-0"], site.targets["i-look-b1-1"]]
    async with look_ups.running():
        await asyncio.sleep(1.0)
        for target in resting:
            target.rest = REST
        await asyncio.sleep(8.0)
    assert all(any(a.rest_s for a in t.arrivals) for t in resting)
    assert [b for t in resting for b in breaches(look_ups, t)] == []
    assert look_ups.served_share() >= SERVED_SHARE


async def test_where_all_targets_rest_requests_are_refused_at_once_and_served_after(
    site: EntrySite,
) -> None:
    """With a time to come back of the rest that is left; none of those ran."""
    look_ups = LookUps(site)
    resting = [t for t in site.targets.values() if t.service == "look"]
    async with look_ups.running():
        await asyncio.sleep(1.0)
        for target in resting:
            target.rest = REST
        await asyncio.sleep(1.5)
        for target in resting:
            target.rest = ""
        await asyncio.sleep(4.0)
    assert [b for t in resting for b in breaches(look_ups, t)] == []
    ran = {r.request_id for t in resting for r in t.runs}
    refused = [
        a
        for a in look_ups.answers
        if a.status == 503 and json.loads(a.body)["name"] == "TARGETS_RESTING"
    ]
    assert refused
    for answer in refused:
        assert answer.request_id not in ran
        assert 0.1 < float(answer.headers["Retry-After"]) <= float(REST) + 0.5
    assert look_ups.answers[-1].status == 200
    logged = [e for entry in site.entries.values() for e in entry.events()]
    events = {e["event"] for e in logged}
    assert "target_rest" in events
    assert "target_ejected" not in events


async def test_absurd_words_of_a_target_change_nothing(site: EntrySite) -> None:
    """One turns requests away for what is no time, one says neither yes nor no."""
    look_ups = LookUps(site)
    odd, unclear = site.targets["i-look-a1-0"], site.targets["i-look-b1-1"]
    async with look_ups.running():
        odd.rest = "soon"
        unclear.leaving = "perhaps"
        await asyncio.sleep(2.0)
        odd.rest = ""
        since = asyncio.get_running_loop().time()
        await asyncio.sleep(2.0)
    for target in (odd, unclear):
        assert any(r.at > since for r in target.runs), target.name
    logged = [e for entry in site.entries.values() for e in entry.events()]
    unreadable = {e["what"] for e in logged if e["event"] == "report_unreadable"}
    assert unreadable == {"leaving", "rest"}
