# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""All entries quarantine a request that crashes each target that runs it.

Guards against one fatal request that takes down a service. A look-up crashed its target
0.1 s after it arrived, and then the target of its second attempt. The caller got a 502
and repeated the look-up some seconds later at other entries. It crashed 31 targets, and
each crash lost the responses to up to ten other callers. Entries kept nothing about a
request after its last attempt and did not exchange what they knew of requests. Other
look-ups with the same key on the same route were served all the while.
"""

import asyncio
import signal

from entry_bench import check_own
from leverdoor.standins.entry_site import RESTART_S, Answer, EntrySite

FATAL = "/look/fatal?x=1"
HARMLESS = "/look/harmless?x=1"
KEY = {"X-Affinity-Key": "6"}
MIN_CRASHES = 3
"""Crashes after which a request counts as the cause."""
MAX_LATE_SENDS = 3
"""Sends allowed after all entries must have quarantined the request."""
QUARANTINED_AFTER_S = 4.0
"""Time within which all connected entries must quarantine the request, in seconds."""
ROUNDS = 8
"""Repetitions of the request at each entry."""
PAUSE_S = 2 * RESTART_S
"""Pause between repetitions, in seconds, in which crashed targets restart."""


def count_crashes(site: EntrySite) -> int:
    """Count the crashes of targets that began to run the fatal request."""
    return sum(r.path == FATAL for t in site.targets.values() for r in t.runs)


async def send_until_enough_crashes(site: EntrySite) -> None:
    entries = list(site.entries.values())
    turn = 0
    while count_crashes(site) < MIN_CRASHES:
        await site.request(entries[turn % len(entries)], "GET", FATAL, None, KEY)
        turn += 1


async def send_to_all(site: EntrySite, path: str) -> list[Answer]:
    answers = []
    for _ in range(ROUNDS):
        for entry in site.entries.values():
            answers.append(await site.request(entry, "GET", path, None, KEY))
        await asyncio.sleep(PAUSE_S)
    return answers


async def test_all_entries_quarantine_a_request_that_crashes_its_targets(
    site: EntrySite,
) -> None:
    """It is refused at once, and other requests with its key are served.

    The quarantine survives a restart of all entries.
    """
    site.crash_paths.add(FATAL)
    await send_until_enough_crashes(site)
    await asyncio.sleep(QUARANTINED_AFTER_S)
    before = count_crashes(site)
    refused = await send_to_all(site, FATAL)
    assert count_crashes(site) - before <= MAX_LATE_SENDS
    assert refused[-1].status == 503
    for answer in await send_to_all(site, HARMLESS):
        check_own(answer)
        assert answer.status == 200
    for entry in site.entries.values():
        entry.send(signal.SIGKILL)
    for entry in site.entries.values():
        await entry.ended()
        await entry.start()
    for entry in site.entries.values():
        await site.ready(entry)
    await send_to_all(site, FATAL)
    assert count_crashes(site) - before <= MAX_LATE_SENDS
