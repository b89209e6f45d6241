# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Decides whether a reply belongs to the request that awaits one on its connection.

A faulty server may send more bytes after a whole reply, at any time. What arrives
before the request was sent closes the connection; what arrives later has to prove
itself:

| reply | proof |
|---|---|
| any | it carries the request's id; none if the request has none |
| success | it is signed, which only a server that ran the request does |
| promise that the request has not run | it is marked as one |

Interim replies prove nothing and end nothing. Pure functions; owns no state.
"""

import re
from collections.abc import Callable
from enum import Enum

import msgspec

__all__ = ["Proof", "ReplyNames", "has_second_status_line", "prove_reply"]

PROMISES_NOT_RUN = frozenset({408, 429, 503})
"""HTTP statuses by which a client takes its request for not run.

421 is one as well, and needs no mark: a server that is not the expected one sends it.
"""
STATUS_LINE = re.compile(r"HTTP/1\.[01] [1-5]\d\d ")


class Proof(Enum):
    """What a reply is to the request that awaits one."""

    OWN = "own"
    SURPLUS = "surplus"
    """It belongs to no request, or to an earlier one; the own reply may follow."""
    DOUBTFUL = "doubtful"
    """It names the request, and cannot be the whole of what its server sent."""


class ReplyNames(msgspec.Struct, frozen=True):
    """Headers by which the replies of a kind of server prove themselves.

    In lower case; "" if the server has no such header.
    """

    request_id: str
    signature: str = ""
    not_run: str = ""
    always_named: bool = True
    """Whether every reply to a request with an id carries that."""


def prove_reply(
    names: ReplyNames, request_id: str, status: int, header: Callable[[str], str]
) -> Proof:
    """Return what a complete final reply is to a request.

    Args:
      names: the headers of the server.
      request_id: the id of the request; "" if it has none.
      status: HTTP status of the reply.
      header: returns the first value of a header of the reply, "" if it is absent.
    """
    named = header(names.request_id)
    if named != request_id and (named or names.always_named):
        return Proof.SURPLUS
    is_success = 200 <= status < 300
    if is_success and names.signature and not header(names.signature):
        return Proof.DOUBTFUL
    if status in PROMISES_NOT_RUN and names.not_run and not header(names.not_run):
        return Proof.DOUBTFUL
    return Proof.OWN


def has_second_status_line(text: str) -> bool:
    """Return whether a reason phrase or header value contains a status line.

    The beginning of one reply and the whole of another one then look like one.
    """
    return "HTTP/1." in text and STATUS_LINE.search(text) is not None
