# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What proves that a reply belongs to a request."""

import pytest

from leverdoor.http.reply_proof import (
    Proof,
    ReplyNames,
    has_second_status_line,
    prove_reply,
)

SIGNED = ReplyNames("x-id", signature="x-stamp", not_run="x-not-run")
"""A server that names, signs and marks its replies."""
UNNAMED = ReplyNames("x-id", always_named=False)
"""A server that may leave the id out, and signs nothing."""
ID, STAMP, MARK = {"x-id": "1"}, {"x-stamp": "s"}, {"x-not-run": "1"}
OTHER_ID = {"x-id": "2"}

CASES = [
    (SIGNED, "1", 200, ID | STAMP, Proof.OWN),
    (SIGNED, "1", 200, STAMP, Proof.SURPLUS),
    (SIGNED, "1", 200, {}, Proof.SURPLUS),
    (SIGNED, "1", 200, OTHER_ID | STAMP, Proof.SURPLUS),
    (SIGNED, "1", 200, ID, Proof.DOUBTFUL),
    (SIGNED, "1", 204, ID, Proof.DOUBTFUL),
    (SIGNED, "1", 304, ID, Proof.OWN),
    (SIGNED, "1", 500, ID, Proof.OWN),
    (SIGNED, "1", 504, ID | STAMP, Proof.OWN),
    (SIGNED, "1", 503, ID | MARK, Proof.OWN),
    (SIGNED, "1", 429, ID | MARK, Proof.OWN),
    (SIGNED, "1", 400, ID | MARK, Proof.OWN),
    (SIGNED, "1", 503, MARK, Proof.SURPLUS),
    (SIGNED, "1", 503, ID, Proof.DOUBTFUL),
    (SIGNED, "1", 503, ID | STAMP, Proof.DOUBTFUL),
    (SIGNED, "1", 429, ID, Proof.DOUBTFUL),
    (SIGNED, "1", 408, ID, Proof.DOUBTFUL),
    (SIGNED, "1", 421, ID, Proof.OWN),
    (SIGNED, "1", 421, {}, Proof.SURPLUS),
    (SIGNED, "", 400, MARK, Proof.OWN),
    (SIGNED, "", 200, STAMP, Proof.OWN),
    (SIGNED, "", 200, OTHER_ID | STAMP, Proof.SURPLUS),
    (UNNAMED, "1", 200, {}, Proof.OWN),
    (UNNAMED, "1", 503, {}, Proof.OWN),
    (UNNAMED, "1", 200, ID, Proof.OWN),
    (UNNAMED, "1", 200, OTHER_ID, Proof.SURPLUS),
]


@pytest.mark.parametrize(("names", "request_id", "status", "head", "proof"), CASES)
def test_proof_of_a_reply(
    names: ReplyNames, request_id: str, status: int, head: dict[str, str], proof: Proof
) -> None:
    found = prove_reply(names, request_id, status, lambda name: head.get(name, ""))
    assert found is proof


@pytest.mark.parametrize(
    ("text", "is_found"),
    [
        ("Service UnavailHTTP/1.1 200 Status", True),
        ("HTTP/1.0 503 no", True),
        ("OK", False),
        ("HTTP/1.1 proxy", False),
        ("1.1 cache", False),
        ("see HTTP/1.1 section 4", False),
    ],
)
def test_second_status_line(text: str, is_found: bool) -> None:
    assert has_second_status_line(text) is is_found
