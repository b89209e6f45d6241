# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Deep JSON is read as far as it is known."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from leverdoor.codec import MAX_DEPTH, _without_deep_values, decode_nested_json

DEEP = b"[" * 100_000 + b"]" * 100_000


class Document(msgspec.Struct):
    version: str
    parts: list[int] = []


@pytest.mark.parametrize("deep", [DEEP, b'{"x":' * 100_000 + b"1" + b"}" * 100_000])
def test_a_deep_unknown_field_leaves_the_others_readable(deep: bytes) -> None:
    data = b'{"a": "]\\"", "unknown": %s, "version": "2", "parts": [1, 2]}' % deep
    assert decode_nested_json(data, Document) == Document("2", [1, 2])


@pytest.mark.parametrize("data", [DEEP[:-1], b'{"version": %s}' % DEEP, b'{"a": "'])
def test_a_deep_value_of_a_known_field_is_rejected(data: bytes) -> None:
    with pytest.raises(msgspec.DecodeError):
        decode_nested_json(data, Document)


JSON = st.recursive(
    st.none() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


@given(value=JSON)
def test_json_that_is_not_deep_stays_as_it_is(value: object) -> None:
    data = json.dumps(value).encode()
    assert _without_deep_values(data) == data


@pytest.mark.parametrize("depth", [MAX_DEPTH - 1, MAX_DEPTH])
def test_values_up_to_the_bound_are_kept(depth: int) -> None:
    data = b"[" * depth + b"]" * depth
    assert _without_deep_values(data) == data
