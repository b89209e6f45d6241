# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Whether an entry can know that a key still holds."""

import asyncio
import json

from entry_bench import PLACES, targets, until_in_force
from leverdoor.codec import serialize_json
from leverdoor.entry.configuration.confirmation import (
    NO_ANSWER,
    Confirmation,
    ReportedAnswer,
)
from leverdoor.standins.entry_site import SAMPLE_ROUTES, EntrySite
from leverdoor.standins.metadata import MetadataFaults


def test_the_newest_answer_of_anyone_counts() -> None:
    c = Confirmation(3)
    assert c.newest_answer(7, 10.0) == NO_ANSWER
    assert c.holds(0.0, 10.0)
    assert not c.holds(5.0, 10.0)
    c.record_peer_answer(ReportedAnswer(7, 1, 2_000), 7, 10.0)
    assert c.holds(5.0, 12.9)
    assert not c.holds(5.0, 13.1)
    c.record_peer_answer(ReportedAnswer(7, 2, 4_000), 7, 10.5)
    c.record_peer_answer(NO_ANSWER, 7, 10.5)
    assert c.newest_answer(7, 10.5) == ReportedAnswer(7, 1, 2_500)
    c.record_answer(11.0)
    assert c.newest_answer(7, 11.2).age_ms == 200


def test_an_answer_to_a_revision_that_is_not_held_confirms_nothing() -> None:
    """Before, an entry that could not fetch a change took its confirmation for its own.

    Its keys held on although one of them was revoked by that change.
    """
    c = Confirmation(3)
    c.record_peer_answer(ReportedAnswer(8, 1, 500), 7, 10.0)
    assert not c.holds(5.0, 10.0)
    c.record_peer_answer(ReportedAnswer(9, 2, 100), 7, 10.2)
    c.record_revision(8)
    assert c.newest_answer(8, 10.2) == ReportedAnswer(8, 1, 700)
    c.record_revision(9)
    assert c.newest_answer(9, 10.2) == ReportedAnswer(9, 2, 100)


def test_an_answer_that_is_told_in_a_circle_grows_as_old_as_it_is() -> None:
    """Each message takes a while, by which the age that it tells is too small.

    Before, two entries of two regions that told each other made an answer younger by
    45 ms with each message: five seconds became six and a half, during which keys
    that may have been revoked were accepted.
    """
    way_s = 0.045
    one, other = Confirmation(1), Confirmation(2)
    one.record_answer(10.0)
    now = 10.0
    for _ in range(20):
        other.record_peer_answer(one.newest_answer(7, now), 7, now + way_s)
        now += 0.2
        one.record_peer_answer(other.newest_answer(7, now), 7, now + way_s)
        now += 0.2
    assert one.age_s(now) == now - 10.0
    assert other.age_s(now) >= now - 10.0 - way_s - 0.001


def test_an_entry_always_a_revision_behind_is_not_outdated_for_it() -> None:
    """Revisions may follow each other faster than an entry fetches them."""
    c = Confirmation(3)
    for i in range(100):
        now = 10.0 + i / 10
        c.record_peer_answer(ReportedAnswer(8 + i, i, 50), 7 + i, now)
        c.record_revision(8 + i)
        assert c.age_s(now) < 0.2


async def keys_hold(strict: bool) -> list[int]:
    """Return the answers to requests while the store is silent for all."""
    site = EntrySite(PLACES, targets())
    bounds = {"strict-revocation": strict, "revocation-ms": 2_500}
    made = site._entry

    def with_bounds(*args: object) -> object:
        entry = made(*args)  # type: ignore[arg-type]
        settings = json.loads(entry.settings.read_bytes())
        entry.settings.write_bytes(serialize_json({**settings, "bounds": bounds}))
        return entry

    site._entry = with_bounds  # type: ignore[method-assign, assignment]
    tenants: list[dict[str, object]] = [{"name": "ward", "api-keys": ["k"]}]
    await site.start(SAMPLE_ROUTES)
    try:
        site.configure(SAMPLE_ROUTES, tenants=tenants)
        await until_in_force(site, "/look/x", 401)
        entry = site.entries["n1"]
        headers = {"X-Credential": "k"}
        found = [(await site.request(entry, "GET", "/look/x", None, headers)).status]
        site.store.faults = MetadataFaults(silent=True)
        for _ in range(100):
            answer = await site.request(entry, "GET", "/look/x", None, headers)
            if answer.status != 200:
                break
            await asyncio.sleep(0.05)
        found.append(answer.status)
        return found
    finally:
        await site.stop()


async def test_a_key_that_cannot_be_confirmed_is_refused_where_that_is_asked() -> None:
    assert await keys_hold(strict=True) == [200, 503]


async def test_else_the_last_word_on_keys_holds() -> None:
    assert await keys_hold(strict=False) == [200, 200]
