# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of the selection of routes by host and path."""

import pytest

from leverdoor.entry.configuration.catalog import Catalog, host_without_port
from leverdoor.model.resources import Route, WorkClass


def test_the_route_with_the_longest_prefix_is_chosen() -> None:
    routes = [
        Route(name=n, host=h, prefix=p, work=WorkClass.LOOKUP, services={"s": 1.0})
        for n, h, p in (("r1", "h", "/"), ("r2", "h", "/a/"), ("r3", "i", "/a/b/"))
    ]
    catalog = Catalog(1, "v", routes)
    found = {p: catalog.route("h", p) for p in ("/x", "/a/", "/a/b/c", "/a")}
    names = {p: r.name for p, r in found.items() if r is not None}
    assert names == {"/x": "r1", "/a/": "r2", "/a/b/c": "r2", "/a": "r1"}
    assert catalog.route("i", "/a/") is None
    assert catalog.route("j", "/") is None


@pytest.mark.parametrize(
    ("header", "host"),
    [("H.Example", "h.example"), ("h:80", "h"), (" h ", "h"), ("[::1]:8", "[::1]")],
)
def test_the_host_header_is_normalized(header: str, host: str) -> None:
    assert host_without_port(header) == host
