# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Ports for the sites of tests."""

from leverdoor.standins.site import free_ports


def test_no_port_is_given_twice() -> None:
    """Ports of a first call are often bound only after a second."""
    given = [port for _ in range(40) for port in free_ports(25)]
    assert len(set(given)) == len(given)
