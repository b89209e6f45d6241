# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Encoding of quarantine notices: round trip, and parsing of arbitrary bytes."""

from hypothesis import given
from hypothesis import strategies as st

from leverdoor.quarantine.notices import (
    Notice,
    NoticeKind,
    parse_notices,
    serialize_notices,
)
from leverdoor.quarantine.quarantine import Quarantine

notices = st.builds(
    Notice,
    st.sampled_from(NoticeKind),
    st.integers(1, (1 << 64) - 1),
    st.integers(0, (1 << 32) - 1),
    st.integers(0, (1 << 32) - 1),
    st.integers(0, (1 << 16) - 1),
)


@given(st.lists(notices, max_size=5), st.binary(max_size=18))
def test_notices_round_trip_and_truncated_ones_are_ignored(
    some: list[Notice], truncated: bytes
) -> None:
    assert parse_notices(serialize_notices(some) + truncated) == some


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_parsed_without_an_error(data: bytes) -> None:
    Quarantine().receive(parse_notices(data), 1000.0)
