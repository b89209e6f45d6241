# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How heartbeats and digests are packed."""

from hypothesis import given, settings
from hypothesis import strategies as st

from leverdoor.codec import pack, unpack
from leverdoor.entry.exchange.encoding import (
    AGE_STEP_S,
    OLDEST_STEPS,
    parse_ids,
    parse_rows,
    serialize_ages,
    serialize_ids,
    serialize_rows,
)
from leverdoor.entry.exchange.messages import (
    Digest,
    DigestScope,
    DomainView,
    EntryHeartbeat,
    Message,
    News,
    RegionCounts,
)
from leverdoor.entry.exchange.target_counts import (
    KEPT_LISTS,
    MOST_COUNTED,
    TargetLists,
)
from leverdoor.entry.membership.member import SERVING, DigestRow, Member

ROWS = st.builds(
    DigestRow,
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**64 - 1),
    st.sampled_from([0, 1, 2]),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(ROWS, max_size=40))
def test_rows_come_back(rows: list[DigestRow]) -> None:
    assert parse_rows(serialize_rows(rows)) == rows


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 2**32 - 1), max_size=40), st.binary(max_size=3))
def test_ids_come_back_and_what_is_cut_short_is_left_out(
    ids: list[int], cut: bytes
) -> None:
    assert parse_ids(serialize_ids(ids) + cut) == ids


def test_ages_are_rounded_up_and_bounded() -> None:
    """An age that is told too low would keep a dead entry named for longer."""
    told = serialize_ages([-0.1, 0.0, AGE_STEP_S * 1.1, 1e9])
    assert list(told) == [0, 0, 2, OLDEST_STEPS]


def test_messages_come_back_by_their_tags() -> None:
    member = Member("e", "a", "a1", "f", "g", "p", 7)
    view = DomainView("a1", 1, b"", b"\x00")
    digest = Digest(
        "e", DigestScope.ALL, 1, 7, 3, "p", [view], [RegionCounts("a", 2, b"\x01")]
    )
    messages: list[Message] = [
        EntryHeartbeat(member, 1, SERVING, 3, {"t": 2}),
        digest,
        News(4, "p"),
    ]
    for message in messages:
        assert unpack(pack(message), Message) == message  # type: ignore[arg-type]


def test_counts_come_back_by_name() -> None:
    lists = TargetLists()
    lists.renew({"a": ["t2", "t1"], "b": ["u"]})
    told = lists.serialize("a", {"t1": 3, "t2": 0, "u": 5})
    assert told.counts == b"\x03\x00"
    assert lists.parse(told) == {"t1": 3}


def test_a_count_beyond_a_byte_is_told_as_the_most() -> None:
    lists = TargetLists()
    lists.renew({"a": ["t"]})
    told = lists.serialize("a", {"t": 1_000})
    assert lists.parse(told) == {"t": MOST_COUNTED}
    assert lists.parse(lists.serialize("a", {"t": -1})) == {}


def test_counts_of_a_recent_list_are_understood_and_of_others_not() -> None:
    """Entries take a change of the targets one after the other."""
    one, other = TargetLists(), TargetLists()
    one.renew({"a": ["t1"]})
    other.renew({"a": ["t1"]})
    before = one.serialize("a", {"t1": 1})
    one.renew({"a": ["t1", "t2"]})
    assert one.parse(before) == {"t1": 1}
    assert other.parse(one.serialize("a", {"t2": 1})) is None
    for i in range(KEPT_LISTS + 1):
        one.renew({"a": [f"v{i}"]})
    assert one.parse(before) is None
