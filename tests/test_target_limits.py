# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What a target takes from all entries together, it gets from all entries together.

What users saw: two targets in need named in their answers how many requests a second
they take, 3.4 and 3.6, and went on getting eight, then seven a second from eight
entries; over an hour of such days their bounds were passed by a fifth. No request was
refused and no log told of it. Order of events: a target names its limit in each answer;
entries that got such answers, and others, send as before.

Cause: nothing read what targets name; load, warmth and distance alone decided, at each
entry for itself.
"""

import asyncio
import json

from entry_bench import LookUps, check_own
from leverdoor.standins.entry_site import EntrySite
from leverdoor.standins.upstreams import UpstreamStandin
from windows import allowed, most_in_a_window

CONTACT_S = 4.0
"""Time after a limit was first named from which on it is to be kept, in seconds."""
PLAYED_S = 14.0
LIMITS = {"i-look-a1-0": "3.5", "i-look-b1-1": "0.5"}


def most_from(target: UpstreamStandin, since: float) -> int:
    """Return the most requests that a target got in a window after a time."""
    return most_in_a_window(r.at for r in target.runs if r.at >= since)


async def test_targets_get_together_what_they_named_at_most(site: EntrySite) -> None:
    """The others serve what is beyond it; nobody is refused for it."""
    look_ups = LookUps(site)
    async with look_ups.running():
        await asyncio.sleep(1.0)
        for name, limit in LIMITS.items():
            site.targets[name].limit = limit
        named_at = asyncio.get_running_loop().time()
        await asyncio.sleep(PLAYED_S)
    for name, limit in LIMITS.items():
        most = most_from(site.targets[name], named_at + CONTACT_S)
        assert 0 < most <= allowed(float(limit)), name
    for answer in look_ups.answers:
        check_own(answer)
        assert answer.status == 200


async def test_where_all_targets_are_limited_the_rest_is_refused_at_once(
    site: EntrySite,
) -> None:
    """With a code of its own, and a time to come back; none of those ran.

    What users saw: six targets that named three a second each served 58 look-ups a
    second together, and none was refused. Some room is used even where the machine is
    so busy that questions are given up.
    """
    limited = [t for t in site.targets.values() if t.service == "look"]
    for target in limited:
        target.limit = "3"
    look_ups = LookUps(site)
    async with look_ups.running():
        named_at = asyncio.get_running_loop().time()
        await asyncio.sleep(PLAYED_S)
    ran = 0
    for target in limited:
        most = most_from(target, named_at + CONTACT_S)
        assert most <= allowed(3.0), target.name
        ran += sum(r.at >= named_at + CONTACT_S for r in target.runs)
    assert ran >= 0.4 * 3.0 * len(limited) * (PLAYED_S - CONTACT_S)
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
