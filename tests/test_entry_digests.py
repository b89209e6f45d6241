# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Encoding of heartbeats and digests."""

from hypothesis import given, settings
from hypothesis import strategies as st

from leverdoor.codec import pack, unpack
from leverdoor.entry.exchange.encoding import (
    AGE_STEP_S,
    MAX_AGE_STEPS,
    parse_hashes,
    parse_rows,
    serialize_ages,
    serialize_hashes,
    serialize_rows,
)
from leverdoor.entry.exchange.messages import (
    Digest,
    DigestScope,
    DomainView,
    EntryHeartbeat,
    Message,
    RegionCounts,
    RevisionAnnouncement,
)
from leverdoor.entry.exchange.target_counts import (
    MAX_COUNT,
    MAX_LISTS,
    TargetCountCodec,
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
def test_serialized_rows_parse_to_the_same_rows(rows: list[DigestRow]) -> None:
    assert parse_rows(serialize_rows(rows)) == rows


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 2**32 - 1), max_size=40), st.binary(max_size=3))
def test_serialized_ids_parse_to_the_same_ids_without_a_truncated_one(
    ids: list[int], truncated: bytes
) -> None:
    assert parse_hashes(serialize_hashes(ids) + truncated) == ids


def test_ages_are_rounded_up_and_bounded() -> None:
    """If an age is too low, look-ups return a failed entry for longer."""
    encoded = serialize_ages([-0.1, 0.0, AGE_STEP_S * 1.1, 1e9])
    assert list(encoded) == [0, 0, 2, MAX_AGE_STEPS]


def test_messages_decode_by_their_tags() -> None:
    member = Member("e", "a", "a1", "f", "g", "p", 7)
    view = DomainView("a1", 1, b"", b"\x00")
    digest = Digest(
        "e", DigestScope.ALL, 1, 7, 3, "p", [view], [RegionCounts("a", 2, b"\x01")]
    )
    messages: list[Message] = [
        EntryHeartbeat(member, 1, SERVING, 3, {"t": 2}),
        digest,
        RevisionAnnouncement(4, "p"),
    ]
    for message in messages:
        assert unpack(pack(message), Message) == message  # type: ignore[arg-type]


def test_nonzero_counts_parse_by_target_name() -> None:
    counts_codec = TargetCountCodec()
    counts_codec.renew({"a": ["t2", "t1"], "b": ["u"]})
    encoded = counts_codec.serialize("a", {"t1": 3, "t2": 0, "u": 5})
    assert encoded.counts == b"\x03\x00"
    assert counts_codec.parse(encoded) == {"t1": 3}


def test_counts_outside_a_byte_are_clamped() -> None:
    counts_codec = TargetCountCodec()
    counts_codec.renew({"a": ["t"]})
    encoded = counts_codec.serialize("a", {"t": 1_000})
    assert counts_codec.parse(encoded) == {"t": MAX_COUNT}
    assert counts_codec.parse(counts_codec.serialize("a", {"t": -1})) == {}


def test_counts_parse_only_for_recent_target_lists() -> None:
    """A change of the targets reaches entries at different times."""
    sender, receiver = TargetCountCodec(), TargetCountCodec()
    sender.renew({"a": ["t1"]})
    receiver.renew({"a": ["t1"]})
    older_counts = sender.serialize("a", {"t1": 1})
    sender.renew({"a": ["t1", "t2"]})
    assert sender.parse(older_counts) == {"t1": 1}
    assert receiver.parse(sender.serialize("a", {"t2": 1})) is None
    for i in range(MAX_LISTS + 1):
        sender.renew({"a": [f"v{i}"]})
    assert sender.parse(older_counts) is None
