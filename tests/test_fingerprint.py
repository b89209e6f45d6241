# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""A request is known again by what targets get of it, and by nothing else."""

from hypothesis import given
from hypothesis import strategies as st

from leverdoor.quarantine.fingerprint import fingerprint_text, request_fingerprint

REQUEST = ("POST", "records.example", "/file/x?a=1", "ward-1", b"body", 4)
OTHERS = (
    ("PUT", "records.example", "/file/x?a=1", "ward-1", b"body", 4),
    ("POST", "other.example", "/file/x?a=1", "ward-1", b"body", 4),
    ("POST", "records.example", "/file/x?a=2", "ward-1", b"body", 4),
    ("POST", "records.example", "/file/x?a=1", "ward-2", b"body", 4),
    ("POST", "records.example", "/file/x?a=1", "ward-1", b"b0dy", 4),
    ("POST", "records.example", "/file/x?a=1", "ward-1", b"body", -1),
)


def test_each_part_counts() -> None:
    found = {request_fingerprint(*one) for one in (REQUEST, *OTHERS)}
    assert len(found) == 1 + len(OTHERS)
    assert request_fingerprint(*REQUEST) == request_fingerprint(*REQUEST)


def test_the_host_counts_in_any_case() -> None:
    method, host, *rest = REQUEST
    assert request_fingerprint(method, host.upper(), *rest) == request_fingerprint(  # type: ignore[arg-type]
        *REQUEST
    )


@given(st.text(), st.binary(max_size=64), st.integers(-1, 1 << 40))
def test_any_request_has_one_of_eight_bytes(path: str, body: bytes, size: int) -> None:
    found = request_fingerprint("GET", "h", path, "", body, size)
    assert 0 < found < 1 << 64
    assert len(fingerprint_text(found)) == 16


def test_none_has_no_text() -> None:
    assert fingerprint_text(0) == ""
