# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Look-ups of a soak by the workspace without a quota: sent once and recorded.

Owns no state; what is seen goes to the record, also when the caller is cancelled.
"""

import hashlib

import aiohttp
import msgspec
from yarl import URL

from leverdoor.standins.soak.record import Attempt, Record, now_s
from leverdoor.standins.soak.workspaces import FREE

__all__ = ["DEADLINE_MS", "FreeLookUp", "refusal_name"]

DEADLINE_MS = 5_000
"""Deadline of a request in ms."""
NO_BODY_DIGEST = hashlib.sha256(b"").hexdigest()
"""Digest of a request without a body."""


class FreeLookUp(msgspec.Struct, frozen=True):
    """A look-up without a body."""

    front: str
    """Where the entry takes requests, as `ip:port`."""
    path: str

    async def send(
        self,
        session: aiohttp.ClientSession,
        request_id: str,
        entry: str,
        record: Record,
    ) -> Attempt:
        """Send it once and record it, also when it is cancelled.

        Args:
          session: with the caller's patience.
          request_id: of this attempt.
          entry: the entry's name, for the record.
          record: where to note what is seen.
        """
        began = now_s()
        status, code = 0, ""
        url = URL(f"http://{self.front}{self.path}", encoded=True)
        try:
            async with session.get(url, headers=_headers(request_id)) as answer:
                body = await answer.read()
                status, code = answer.status, refusal_name(body)
        except (aiohttp.ClientError, OSError, TimeoutError):
            status = 0
        finally:
            attempt = Attempt(
                request_id=request_id,
                entry=entry,
                path=self.path,
                once=False,
                digest=NO_BODY_DIGEST,
                deadline_ms=DEADLINE_MS,
                sent_at=began,
                ended_at=now_s(),
                status=status,
                own=True,
                stamped=status == 200,
                left=True,
                workspace=FREE.name,
                code=code,
            )
            record.attempts.append(attempt)
        return attempt


def _headers(request_id: str) -> dict[str, str]:
    return {
        "Host": "records.example",
        "X-Credential": FREE.key,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(DEADLINE_MS),
    }


def refusal_name(body: bytes) -> str:
    """Return the name of the code that a refusal's body has; "" if it has none."""
    try:
        return msgspec.json.decode(body, type=_Refused).name
    except msgspec.MsgspecError:
        return ""


class _Refused(msgspec.Struct):
    """The body of a refusal."""

    name: str = ""
