# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The fingerprint covers method, host, path, caller, body and length."""

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


def test_the_fingerprint_covers_each_part() -> None:
    found = {request_fingerprint(*one) for one in (REQUEST, *OTHERS)}
    assert len(found) == 1 + len(OTHERS)
    assert request_fingerprint(*REQUEST) == request_fingerprint(*REQUEST)


def test_the_case_of_the_host_is_ignored() -> None:
    method, host, *rest = REQUEST
    assert request_fingerprint(method, host.upper(), *rest) == request_fingerprint(  # type: ignore[arg-type]
        *REQUEST
    )


@given(st.text(), st.binary(max_size=64), st.integers(-1, 1 << 40))
def test_any_request_has_a_fingerprint_of_eight_bytes(
    path: str, body: bytes, size: int
) -> None:
    found = request_fingerprint("GET", "h", path, "", body, size)
    assert 0 < found < 1 << 64
    assert len(fingerprint_text(found)) == 16


def test_the_text_of_no_fingerprint_is_empty() -> None:
    assert fingerprint_text(0) == ""
