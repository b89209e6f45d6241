# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""When a starting entry begins to serve."""

from leverdoor.entry.readiness import CONFIRMATION_WAIT_S, Readiness


def test_an_entry_with_a_peers_state_serves_once_keys_are_confirmed() -> None:
    """It refused the first keys, until the store or a peer had answered it."""
    readiness = Readiness()
    assert not readiness.may_serve(False, True, 10.0)
    assert not readiness.may_serve(True, False, 10.0)
    assert readiness.may_serve(True, True, 10.1)


def test_an_entry_that_nobody_confirms_serves_after_a_while() -> None:
    readiness = Readiness()
    assert not readiness.may_serve(True, False, 10.0)
    assert not readiness.may_serve(True, False, 10.0 + CONFIRMATION_WAIT_S / 2)
    assert readiness.may_serve(True, False, 10.0 + CONFIRMATION_WAIT_S)
