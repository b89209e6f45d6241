# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What proves that a reply belongs to a request."""

import pytest

from leverdoor.http.reply_proof import has_second_status_line


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
