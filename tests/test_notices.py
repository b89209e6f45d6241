# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Notices of requests that end targets: what is written is read, and any bytes."""

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
def test_notices_are_read_as_written(some: list[Notice], cut: bytes) -> None:
    assert parse_notices(serialize_notices(some) + cut) == some


@given(st.binary(max_size=200))
def test_any_bytes_are_read(data: bytes) -> None:
    Quarantine().receive(parse_notices(data), 1000.0)
