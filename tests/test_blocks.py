# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of the map from client networks to home regions."""

import ipaddress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leverdoor.model.blocks import ClientRegionMap, compile_blocks, without_networks
from leverdoor.model.resources import ClientBlocks


def build_map(*chunks: list[tuple[str, str]]) -> ClientRegionMap:
    return ClientRegionMap(
        {
            f"b{i}": compile_blocks(
                ClientBlocks(
                    name=f"b{i}",
                    networks={
                        region: [p for p, r in chunk if r == region]
                        for region in {r for _, r in chunk}
                    },
                )
            )
            for i, chunk in enumerate(chunks)
        }
    )


@pytest.mark.parametrize(
    ("address", "region"),
    [
        ("10.0.0.1", "a"),
        ("10.1.0.1", "b"),
        ("10.1.2.3", "c"),
        ("10.1.3.0", "b"),
        ("10.2.0.0", "a"),
        ("11.0.0.0", ""),
        ("9.255.255.255", ""),
        ("2001:db8::1", "d"),
        ("2001:db9::1", ""),
        ("not an address", ""),
        ("", ""),
    ],
)
def test_longest_prefix_wins(address: str, region: str) -> None:
    block_map = build_map(
        [("10.0.0.0/8", "a"), ("10.1.2.0/24", "c")],
        [("10.1.0.0/16", "b"), ("2001:db8::/32", "d")],
    )
    assert block_map.region(address) == region


def test_networks_at_the_limits_of_the_address_space() -> None:
    block_map = build_map(
        [("0.0.0.0/0", "a"), ("255.255.255.255/32", "b"), ("::/0", "c")]
    )
    assert block_map.region("0.0.0.0") == "a"
    assert block_map.region("255.255.255.255") == "b"
    assert block_map.region("ffff::") == "c"


prefixes = st.builds(
    lambda n, length: str(ipaddress.ip_network((n << 16, length), strict=False)),
    st.integers(0, 2**16 - 1),
    st.integers(1, 24),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(st.lists(st.tuples(prefixes, st.sampled_from("abc")), max_size=8)),
    st.lists(st.integers(0, 2**32 - 1), min_size=1, max_size=20),
)
def test_map_agrees_with_linear_search(
    chunks: list[list[tuple[str, str]]], addresses: list[int]
) -> None:
    seen: dict[str, str] = {}
    unique = [
        [(p, seen.setdefault(p, r)) for p, r in chunk if p not in seen]
        for chunk in chunks
    ]
    block_map = build_map(*unique)
    networks = [(ipaddress.ip_network(p), r) for p, r in seen.items()]
    for number in addresses:
        address = ipaddress.ip_address(number)
        matching = [(n.prefixlen, r) for n, r in networks if address in n]
        expected = max(matching)[1] if matching else ""
        assert block_map.region(str(address)) == expected


def test_copy_without_networks_names_every_region() -> None:
    found = without_networks(
        ClientBlocks(name="x", networks={"a": ["10.0.0.0/8"], "b": []})
    )
    assert found.networks == {"a": [], "b": []}
