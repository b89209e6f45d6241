# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Targets whose entries lapse while the store is away."""

from desk import target
from leverdoor.entry.configuration.expired_registrations import ExpiredRegistrations
from leverdoor.entry.configuration.outage import EXPIRY_WINDOW_S, Outage
from leverdoor.model.resources import Target


def named(*targets: Target) -> dict[str, Target]:
    return {t.name: t for t in targets}


ONE = target("one", address="10.0.0.1:80")
TWO = target("two", address="10.0.0.2:80")


def test_what_lapses_in_an_outage_is_held_until_it_is_back() -> None:
    lapses = ExpiredRegistrations(2.5)
    assert lapses.update(named(ONE, TWO), False, 0.0) == []
    assert lapses.update({}, True, 1.0) == [ONE, TWO]
    assert lapses.update(named(ONE), True, 1.5) == [TWO]
    assert lapses.update(named(ONE, TWO), True, 2.0) == []
    assert lapses.next_expiry is None


def test_what_stays_missing_is_taken_for_gone_within_the_bound_on_leaving() -> None:
    lapses = ExpiredRegistrations(2.5)
    lapses.update(named(ONE), False, 0.0)
    lapses.update({}, True, 1.0)
    end = lapses.next_expiry
    assert end is not None and end <= 1.0 + 2.5
    assert lapses.update({}, True, end) == []
    assert lapses.update({}, True, end + 0.1) == []


def test_without_an_outage_a_missing_target_is_gone_at_once() -> None:
    lapses = ExpiredRegistrations(2.5)
    lapses.update(named(ONE), False, 0.0)
    assert lapses.update({}, False, 1.0) == []


def test_a_target_that_said_it_leaves_is_not_held() -> None:
    lapses = ExpiredRegistrations(2.5)
    lapses.update(named(target("one", draining=True)), True, 0.0)
    assert lapses.update({}, True, 1.0) == []


def test_a_target_whose_address_another_has_is_not_held() -> None:
    lapses = ExpiredRegistrations(2.5)
    lapses.update(named(ONE), True, 0.0)
    assert lapses.update(named(target("next", address=ONE.address)), True, 1.0) == []


def test_an_outage_is_known_from_others_and_forgotten() -> None:
    outage = Outage()
    assert not outage.is_recent(0.0)
    assert outage.age_ms(0.0) == -1
    outage.record_peer_report(-1, 0.0)
    assert not outage.is_recent(0.0)
    outage.record_peer_report(500, 1.0)
    assert outage.is_recent(1.0)
    assert outage.age_ms(1.5) == 1000
    outage.record_peer_report(2000, 1.5)
    assert outage.age_ms(1.5) == 1000
    assert not outage.is_recent(1.0 + EXPIRY_WINDOW_S)


def test_an_outage_lasts_until_the_store_answers_here() -> None:
    outage = Outage()
    outage.record_reachability(True, 0.0)
    assert not outage.is_recent(0.0)
    outage.record_reachability(False, 1.0)
    assert outage.age_ms(50.0) == 0
    outage.record_reachability(True, 50.0)
    assert outage.age_ms(51.0) == 1000
