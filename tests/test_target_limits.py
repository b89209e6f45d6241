# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""All entries together keep the limit that a target advertises.

Guards against advertised limits that no entry reads. Each entry then places requests by
load, warmth and distance alone: eight entries sent eight requests per second to targets
with limits of 3.4 and 3.6, and nothing was refused or logged.
"""

import asyncio
import json

from entry_bench import LookUps, check_own
from leverdoor.standins.entry_site import EntrySite
from leverdoor.standins.upstreams import UpstreamStandin
from windows import allowed, most_in_a_window

ENFORCED_AFTER_S = 4.0
"""Time within which all entries must keep a newly advertised limit, in seconds."""
LOAD_S = 14.0
LIMITS = {"i-look-a1-0": "3.5", "i-look-b1-1": "0.5"}


def max_requests_in_window(target: UpstreamStandin, since: float) -> int:
    """Return the most requests that a target received in a window after a time."""
    return most_in_a_window(r.at for r in target.runs if r.at >= since)


async def test_targets_get_at_most_the_limit_that_they_advertise(
    site: EntrySite,
) -> None:
    """Other targets serve the excess, and no request is refused."""
    look_ups = LookUps(site)
    async with look_ups.running():
        await asyncio.sleep(1.0)
        for name, limit in LIMITS.items():
            site.targets[name].limit = limit
        advertised_at = asyncio.get_running_loop().time()
        await asyncio.sleep(LOAD_S)
    for name, limit in LIMITS.items():
        most = max_requests_in_window(
            site.targets[name], advertised_at + ENFORCED_AFTER_S
        )
        assert 0 < most <= allowed(float(limit)), name
    for answer in look_ups.answers:
        check_own(answer)
        assert answer.status == 200


async def test_excess_requests_are_refused_if_all_targets_are_limited(
    site: EntrySite,
) -> None:
    """The refusals have their own code and a retry time, and no refused request ran.

    Guards against excess look-ups that are served: six targets with limits of three per
    second each served 58 per second together. Only 40% of the limits must be used,
    since grant requests may time out on a busy machine.
    """
    limited = [t for t in site.targets.values() if t.service == "look"]
    for target in limited:
        target.limit = "3"
    look_ups = LookUps(site)
    async with look_ups.running():
        advertised_at = asyncio.get_running_loop().time()
        await asyncio.sleep(LOAD_S)
    ran = 0
    for target in limited:
        most = max_requests_in_window(target, advertised_at + ENFORCED_AFTER_S)
        assert most <= allowed(3.0), target.name
        ran += sum(r.at >= advertised_at + ENFORCED_AFTER_S for r in target.runs)
    assert ran >= 0.4 * 3.0 * len(limited) * (LOAD_S - ENFORCED_AFTER_S)
    refused = [a for a in look_ups.answers if a.status != 200]
    assert refused
    run_ids = {r.request_id for t in limited for r in t.runs}
    for answer in refused:
        assert json.loads(answer.body)["name"] == "TARGETS_LIMITED"
        assert 0.1 < float(answer.headers["Retry-After"]) <= 20.0
        assert answer.request_id not in run_ids
    events = {e["event"] for entry in site.entries.values() for e in entry.events()}
    assert {"target_limit", "refused"} <= events
    assert "target_ejected" not in events
