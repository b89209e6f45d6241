# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of the age of store answers and of the refusal of unconfirmed keys."""

import asyncio
import json

from entry_bench import PLACES, targets, until_in_force
from leverdoor.codec import serialize_json
from leverdoor.entry.configuration.confirmation import (
    NO_ANSWER,
    Confirmation,
    ReportedAnswer,
)
from leverdoor.model.position import Position
from leverdoor.model.position import position_without_era as at
from leverdoor.standins.entry_site import SAMPLE_ROUTES, EntrySite
from leverdoor.standins.metadata import MetadataFaults


def test_the_newest_answer_of_any_entry_counts() -> None:
    tracker = Confirmation(3)
    assert tracker.newest_answer(at(7), 10.0) == NO_ANSWER
    assert tracker.holds(0.0, 10.0)
    assert not tracker.holds(5.0, 10.0)
    tracker.record_peer_answer(ReportedAnswer(at(7), 1, 2_000), at(7), 10.0)
    assert tracker.holds(5.0, 12.9)
    assert not tracker.holds(5.0, 13.1)
    tracker.record_peer_answer(ReportedAnswer(at(7), 2, 4_000), at(7), 10.5)
    tracker.record_peer_answer(NO_ANSWER, at(7), 10.5)
    assert tracker.newest_answer(at(7), 10.5) == ReportedAnswer(at(7), 1, 2_500)
    tracker.record_answer(11.0)
    assert tracker.newest_answer(at(7), 11.2).age_ms == 200


def test_an_answer_for_a_newer_revision_does_not_confirm_the_one_in_force() -> None:
    """Otherwise an entry that cannot fetch a newer revision would accept its old keys.

    One of them may have been revoked by the newer revision.
    """
    tracker = Confirmation(3)
    tracker.record_peer_answer(ReportedAnswer(at(8), 1, 500), at(7), 10.0)
    assert not tracker.holds(5.0, 10.0)
    tracker.record_peer_answer(ReportedAnswer(at(9), 2, 100), at(7), 10.2)
    tracker.record_position(at(8))
    assert tracker.newest_answer(at(8), 10.2) == ReportedAnswer(at(8), 1, 700)
    tracker.record_position(at(9))
    assert tracker.newest_answer(at(9), 10.2) == ReportedAnswer(at(9), 2, 100)


def test_an_answer_reported_in_a_cycle_does_not_become_younger() -> None:
    """A received age is too low by the latency of its message.

    Without numbers of answers, two entries in different regions that report to each
    other make an answer younger by 45 ms with each message. A bound of 5 s then becomes
    6.5 s, during which keys that may have been revoked are accepted.
    """
    latency_s = 0.045
    first, second = Confirmation(1), Confirmation(2)
    first.record_answer(10.0)
    now = 10.0
    for _ in range(20):
        answer = first.newest_answer(at(7), now)
        second.record_peer_answer(answer, at(7), now + latency_s)
        now += 0.2
        answer = second.newest_answer(at(7), now)
        first.record_peer_answer(answer, at(7), now + latency_s)
        now += 0.2
    assert first.age_s(now) == now - 10.0
    assert second.age_s(now) >= now - 10.0 - latency_s - 0.001


def test_pending_answers_count_when_their_revision_is_in_force() -> None:
    """Revisions may arrive faster than an entry fetches them.

    An entry that is always one revision behind must not count as outdated.
    """
    tracker = Confirmation(3)
    for i in range(100):
        now = 10.0 + i / 10
        tracker.record_peer_answer(ReportedAnswer(at(8 + i), i, 50), at(7 + i), now)
        tracker.record_position(at(8 + i))
        assert tracker.age_s(now) < 0.2


def test_answers_of_an_earlier_era_do_not_confirm_the_present_one() -> None:
    tracker = Confirmation()
    before, lost, restored = Position(1, 7), Position(1, 9), Position(2, 8)
    tracker.record_peer_answer(ReportedAnswer(before, 1, 2_000), before, 10.0)
    tracker.record_peer_answer(ReportedAnswer(lost, 2, 100), before, 10.0)
    tracker.record_position(restored)
    tracker.record_peer_answer(ReportedAnswer(lost, 3, 0), restored, 10.0)
    assert tracker.age_s(10.0) == 2.0
    tracker.record_peer_answer(ReportedAnswer(restored, 4, 500), restored, 10.0)
    assert tracker.age_s(10.0) == 0.5


async def statuses_while_store_is_silent(strict: bool) -> list[int]:
    """Return the statuses of a request before and while the store is silent."""
    site = EntrySite(PLACES, targets())
    bounds = {"strict-revocation": strict, "revocation-ms": 2_500}
    create_entry = site._entry

    def with_bounds(*args: object) -> object:
        """Create an entry with `bounds` in its settings."""
        entry = create_entry(*args)  # type: ignore[arg-type]
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
        statuses = [(await site.request(entry, "GET", "/look/x", None, headers)).status]
        site.store.faults = MetadataFaults(silent=True)
        for _ in range(100):
            answer = await site.request(entry, "GET", "/look/x", None, headers)
            if answer.status != 200:
                break
            await asyncio.sleep(0.05)
        statuses.append(answer.status)
        return statuses
    finally:
        await site.stop()


async def test_an_unconfirmed_key_is_refused_with_strict_revocation() -> None:
    assert await statuses_while_store_is_silent(strict=True) == [200, 503]


async def test_an_unconfirmed_key_is_accepted_without_strict_revocation() -> None:
    assert await statuses_while_store_is_silent(strict=False) == [200, 200]
