# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""All entries quarantine a fatal request, which crashes each target that runs it.

Guards against a look-up that is retried at target after target. Each attempt crashed
its target, the caller repeated the look-up at other entries, and 31 targets crashed;
each crash lost the responses to up to ten other callers. Entries forgot a request after
its last attempt and did not exchange what they knew of requests. Only that look-up must
be refused: others with the same key on the same route are harmless.
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


def count_fatal_runs(site: EntrySite) -> int:
    """Count the runs of the fatal request, each of which crashes its target."""
    return sum(r.path == FATAL for t in site.targets.values() for r in t.runs)


async def send_until_enough_crashes(site: EntrySite) -> None:
    entries = list(site.entries.values())
    turn = 0
    while count_fatal_runs(site) < MIN_CRASHES:
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
    """It is refused from then on, and other requests with its key are served.

    The quarantine survives a restart of all entries.
    """
    site.crash_paths.add(FATAL)
    await send_until_enough_crashes(site)
    await asyncio.sleep(QUARANTINED_AFTER_S)
    before = count_fatal_runs(site)
    refused = await send_to_all(site, FATAL)
    assert count_fatal_runs(site) - before <= MAX_LATE_SENDS
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
    assert count_fatal_runs(site) - before <= MAX_LATE_SENDS
