# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of targets whose registrations expire during an outage of the store."""

from desk import target
from leverdoor.entry.configuration.expired_registrations import ExpiredRegistrations
from leverdoor.entry.configuration.outage import EXPIRY_WINDOW_S, Outage
from leverdoor.model.resources import Target


def by_name(*targets: Target) -> dict[str, Target]:
    return {t.name: t for t in targets}


ONE = target("one", address="10.0.0.1:80")
TWO = target("two", address="10.0.0.2:80")


def test_targets_that_expire_in_an_outage_are_retained_until_they_register() -> None:
    registrations = ExpiredRegistrations(2.5)
    assert registrations.update(by_name(ONE, TWO), False, 0.0) == []
    assert registrations.update({}, True, 1.0) == [ONE, TWO]
    assert registrations.update(by_name(ONE), True, 1.5) == [TWO]
    assert registrations.update(by_name(ONE, TWO), True, 2.0) == []
    assert registrations.next_expiry is None


def test_retained_targets_expire_within_the_bound_for_leaving_targets() -> None:
    registrations = ExpiredRegistrations(2.5)
    registrations.update(by_name(ONE), False, 0.0)
    registrations.update({}, True, 1.0)
    end = registrations.next_expiry
    assert end is not None and end <= 1.0 + 2.5
    assert registrations.update({}, True, end) == []
    assert registrations.update({}, True, end + 0.1) == []


def test_without_an_outage_a_missing_target_is_removed_immediately() -> None:
    registrations = ExpiredRegistrations(2.5)
    registrations.update(by_name(ONE), False, 0.0)
    assert registrations.update({}, False, 1.0) == []


def test_a_draining_target_is_not_retained() -> None:
    registrations = ExpiredRegistrations(2.5)
    registrations.update(by_name(target("one", draining=True)), True, 0.0)
    assert registrations.update({}, True, 1.0) == []


def test_a_target_is_not_retained_after_its_address_was_reused() -> None:
    registrations = ExpiredRegistrations(2.5)
    registrations.update(by_name(ONE), True, 0.0)
    assert (
        registrations.update(by_name(target("next", address=ONE.address)), True, 1.0)
        == []
    )


def test_an_outage_reported_by_a_peer_is_recorded_and_expires() -> None:
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


def test_an_outage_lasts_until_the_store_answers_this_entry() -> None:
    outage = Outage()
    outage.record_reachability(True, 0.0)
    assert not outage.is_recent(0.0)
    outage.record_reachability(False, 1.0)
    assert outage.age_ms(50.0) == 0
    outage.record_reachability(True, 50.0)
    assert outage.age_ms(51.0) == 1000
