# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Recognizes the beginning of one reply and the whole of another that look like one.

Pure functions; owns no state.
"""

import re

__all__ = ["has_second_status_line"]

STATUS_LINE = re.compile(r"HTTP/1\.[01] [1-5]\d\d ")


def has_second_status_line(text: str) -> bool:
    """Return whether a reason phrase or header value contains a status line.

    The beginning of one reply and the whole of another one then look like one.
    """
    return "HTTP/1." in text and STATUS_LINE.search(text) is not None
