# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The TCP options of connections that wait for a slow answer."""

from leverdoor.entry.links.tcp_keepalive import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    USER_TIMEOUT_MS,
)


def probes_before_the_end() -> int:
    """Return the unanswered probes after which the kernel ends an idle connection.

    A probe is due after the idle time and then after each interval. With a user
    timeout, the connection ends when a probe is due and the timeout is over.
    """
    unanswered = 0
    silent_s = KEEPALIVE_IDLE_S
    while not unanswered or silent_s * 1000 < USER_TIMEOUT_MS:
        unanswered += 1
        silent_s += KEEPALIVE_INTERVAL_S
    return unanswered


def test_one_lost_probe_does_not_end_a_connection_that_waits_for_an_answer() -> None:
    assert probes_before_the_end() == KEEPALIVE_PROBES
