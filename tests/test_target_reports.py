# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Entries send no requests to targets that reported to be leaving or resting."""

import asyncio
import json

from entry_bench import LookUps
from leverdoor.entry.placement.speed_estimate import MIN_TOLD_SLOWNESS
from leverdoor.standins.entry_site import EntrySite
from leverdoor.standins.soak.report_promise import arrivals_by_entry, report_breaches
from leverdoor.standins.upstreams import UpstreamStandin

MIN_SERVED_SHARE = 0.97
"""Minimum share of look-ups that are served while other targets have capacity."""
REST_VALUE = "2.5"


def breaches(look_ups: LookUps, target: UpstreamStandin) -> list[str]:
    """Return the requests that entries sent in breach of a target's reports."""
    arrivals = arrivals_by_entry(target.arrivals, look_ups.senders)
    return list(report_breaches(target.name, arrivals, lambda *_: False))


async def test_leaving_target_receives_no_more_requests(
    site: EntrySite,
) -> None:
    """Only its reports withdraw the target; the store still lists it as ready."""
    look_ups = LookUps(site)
    leaving_target = site.targets["i-look-a1-0"]
    async with look_ups.running():
        await asyncio.sleep(1.0)
        leaving_target.leaving = "1"
        await asyncio.sleep(6.0)
    assert any(a.leaving for a in leaving_target.arrivals)
    assert breaches(look_ups, leaving_target) == []
    assert look_ups.served_share() >= MIN_SERVED_SHARE


async def test_resting_target_receives_no_requests(
    site: EntrySite,
) -> None:
    """The remaining targets serve the look-ups during the rest."""
    look_ups = LookUps(site)
    resting = [site.targets["i-look-a1-0"], site.targets["i-look-b1-1"]]
    async with look_ups.running():
        await asyncio.sleep(1.0)
        for target in resting:
            target.rest = REST_VALUE
        await asyncio.sleep(8.0)
    assert all(any(a.rest_s for a in t.arrivals) for t in resting)
    assert [b for t in resting for b in breaches(look_ups, t)] == []
    assert look_ups.served_share() >= MIN_SERVED_SHARE


async def test_requests_are_refused_while_all_targets_rest(
    site: EntrySite,
) -> None:
    """Refusals carry the remaining rest as Retry-After, and no refused request ran."""
    look_ups = LookUps(site)
    resting = [t for t in site.targets.values() if t.service == "look"]
    async with look_ups.running():
        await asyncio.sleep(1.0)
        for target in resting:
            target.rest = REST_VALUE
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
        assert 0.1 < float(answer.headers["Retry-After"]) <= float(REST_VALUE) + 0.5
    assert look_ups.answers[-1].status == 200
    logged = [e for entry in site.entries.values() for e in entry.events()]
    events = {e["event"] for e in logged}
    assert "target_rest" in events
    assert "target_ejected" not in events


async def test_all_entries_of_a_region_learn_that_a_target_is_slow(
    site: EntrySite,
) -> None:
    """The target runs requests ten times as long, and says so."""
    slow = site.targets["i-look-a1-0"]
    look_ups = LookUps(site)
    async with look_ups.running():
        await asyncio.sleep(1.0)
        for target in site.targets.values():
            target.reports_speed = True
        slow.slow_x = 10.0
        await asyncio.sleep(4.0)
        slow.slow_x = 1.0
        await asyncio.sleep(3.0)
    assert look_ups.served_share() >= MIN_SERVED_SHARE
    for name in ("n1", "n2"):
        logged = site.entries[name].events()
        changes = [e["slowness"] for e in logged if e["event"] == "target_slowness"]
        assert changes, name
        assert changes[-1] < MIN_TOLD_SLOWNESS, "as usual again"
        attempts = [e for e in logged if e["event"] == "attempt"]
        placed = {e["target"] for e in attempts if e["slowness"] > 1.0}
        assert placed <= {slow.name}
        unreadable = [e for e in logged if e["event"] == "report_unreadable"]
        assert unreadable == []


async def test_unreadable_reports_are_ignored(site: EntrySite) -> None:
    """One target sends a rest that is not a number, one an invalid leaving value."""
    look_ups = LookUps(site)
    unreadable_rest, unreadable_leaving = (
        site.targets["i-look-a1-0"],
        site.targets["i-look-b1-1"],
    )
    async with look_ups.running():
        unreadable_rest.rest = "soon"
        unreadable_leaving.leaving = "perhaps"
        await asyncio.sleep(2.0)
        unreadable_rest.rest = ""
        since = asyncio.get_running_loop().time()
        await asyncio.sleep(2.0)
    for target in (unreadable_rest, unreadable_leaving):
        assert any(r.at > since for r in target.runs), target.name
    logged = [e for entry in site.entries.values() for e in entry.events()]
    unreadable = {e["what"] for e in logged if e["event"] == "report_unreadable"}
    assert unreadable == {"leaving", "rest"}
