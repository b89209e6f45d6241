# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Numbered result codes, and the exceptions and the `Rejection` that carry them.

Only this module defines the HTTP status, run verdict, exit status and meaning of each
code; a test compares docs/ERRORS.md with it. A function that abandons a request raises
`Refusal`; a function that only chooses a target, without I/O, returns `Rejection`
instead of its choice. Owns no state.
"""

import traceback
from enum import IntEnum, StrEnum

import msgspec

__all__ = [
    "Code",
    "ConfigError",
    "LeverdoorError",
    "Problem",
    "Refusal",
    "Rejection",
    "Run",
    "SettingsError",
    "StoreUnavailable",
    "OutcomeUnknown",
    "code_info",
    "release_frames",
]


class Run(StrEnum):
    """Run verdict: whether the request ran or the write took effect."""

    NO = "no"
    YES = "yes"
    MAYBE = "maybe"


class Code(IntEnum):
    """Numbered result codes; docs/ERRORS.md has the same table."""

    OK = 0
    MALFORMED = 1001
    UNKNOWN_FIELD = 1002
    DANGLING_REFERENCE = 1003
    CONTRADICTION = 1004
    NOT_FOUND = 1005
    CONFLICT = 1006
    COMPACTED = 1007
    READ_ONLY = 1008
    STORE_UNAVAILABLE = 2001
    WRITE_UNKNOWN = 2002
    NO_CONFIGURATION = 2003
    WAIT_EXPIRED = 2004
    UNKNOWN_SERVICE = 3001
    QUEUE_FULL = 3002
    DEADLINE_TOO_SHORT = 3003
    SHED_BY_TIER = 3004
    CAP_REACHED = 3005
    NOT_READY = 3006
    KEY_REQUIRED = 3007
    KEY_INVALID = 3008
    LEAVING = 3009
    NO_TARGET = 3010
    BAD_REQUEST = 3011
    CONNECT_FAILED = 3012
    BODY_TOO_SLOW = 3013
    NO_ROUTE = 3014
    BODY_TOO_LARGE = 3015
    TARGET_REFUSED = 3016
    WORKSPACE_KEY_MISSING = 3017
    WORKSPACE_KEY_UNKNOWN = 3018
    NO_COMMON_HOME = 3019
    QUOTA_EXCEEDED = 3020
    WORKSPACE_KEY_UNCONFIRMED = 3021
    QUARANTINED = 3022
    TARGETS_LIMITED = 3023
    TARGETS_RESTING = 3024
    REGION_FULL = 3025
    TARGETS_UNREACHABLE = 3026
    MEMORY_FULL = 3027
    ANSWER_LOST = 3101
    ISSUER_GONE = 3102
    DEADLINE_PASSED = 3103
    STILL_RUNNING = 3104
    ISSUER_UNREACHABLE = 3106
    KEY_EXPIRED = 3107
    ALREADY_RAN = 3201
    BAD_SETTING = 4001


class CodeInfo(msgspec.Struct, frozen=True):
    """HTTP status, run verdict, process exit status and meaning of one code."""

    status: int
    run: Run
    exit_status: int
    meaning: str


RETRYABLE_STATUSES = frozenset({408, 429, 503})
"""HTTP statuses after which a retry of the same request may succeed."""
DEFAULT_RETRY_MS = 100
"""Retry delay in ms, used if a refusal gives none.

Without a delay, a caller whose request did not run would retry at once. A longer delay
would postpone a retry that only needs another entry.
"""

_CODE_INFO: dict[Code, CodeInfo] = {
    Code.OK: CodeInfo(200, Run.YES, 0, "Done."),
    Code.MALFORMED: CodeInfo(400, Run.NO, 10, "The document cannot be read."),
    Code.UNKNOWN_FIELD: CodeInfo(
        422, Run.NO, 11, "A field is unknown, missing, or of the wrong type or unit."
    ),
    Code.DANGLING_REFERENCE: CodeInfo(
        422, Run.NO, 12, "A field names a resource that does not exist."
    ),
    Code.CONTRADICTION: CodeInfo(422, Run.NO, 13, "Fields contradict one another."),
    Code.NOT_FOUND: CodeInfo(404, Run.NO, 14, "There is no such resource or kind."),
    Code.CONFLICT: CodeInfo(
        409, Run.NO, 15, "The resource is at another revision than the condition says."
    ),
    Code.COMPACTED: CodeInfo(
        410, Run.NO, 16, "The watch asks for a revision no longer held; list again."
    ),
    Code.READ_ONLY: CodeInfo(405, Run.NO, 17, "The resource is a report: read only."),
    Code.STORE_UNAVAILABLE: CodeInfo(
        503, Run.NO, 20, "The store is down; nothing was written. Come back as told."
    ),
    Code.WRITE_UNKNOWN: CodeInfo(
        504, Run.MAYBE, 21, "The write's outcome is unknown; read before repeating."
    ),
    Code.NO_CONFIGURATION: CodeInfo(
        503, Run.NO, 22, "This process has no configuration yet."
    ),
    Code.WAIT_EXPIRED: CodeInfo(
        504, Run.YES, 23, "Accepted, but not yet in force on every entry."
    ),
    Code.UNKNOWN_SERVICE: CodeInfo(404, Run.NO, 30, "No service of this name."),
    Code.QUEUE_FULL: CodeInfo(503, Run.NO, 31, "The queue is at its bound."),
    Code.DEADLINE_TOO_SHORT: CodeInfo(
        503, Run.NO, 32, "The wait would pass, or has passed, the request's deadline."
    ),
    Code.SHED_BY_TIER: CodeInfo(
        503, Run.NO, 33, "Refused to keep room for callers of a higher tier."
    ),
    Code.CAP_REACHED: CodeInfo(
        503, Run.NO, 34, "The shift cap of every region with room is used up."
    ),
    Code.NOT_READY: CodeInfo(503, Run.NO, 35, "This entry is not ready to serve."),
    Code.KEY_REQUIRED: CodeInfo(
        428, Run.NO, 36, "The service runs at most once; send an issued key."
    ),
    Code.KEY_INVALID: CodeInfo(422, Run.NO, 37, "The key was not issued by leverdoor."),
    Code.LEAVING: CodeInfo(503, Run.NO, 38, "This entry is leaving; ask another."),
    Code.NO_TARGET: CodeInfo(503, Run.NO, 39, "No target is in service anywhere."),
    Code.BAD_REQUEST: CodeInfo(
        400, Run.NO, 40, "The request's framing or headers are not acceptable."
    ),
    Code.CONNECT_FAILED: CodeInfo(
        503, Run.NO, 41, "No connection could be opened; no byte was sent."
    ),
    Code.BODY_TOO_SLOW: CodeInfo(
        408, Run.NO, 42, "The body came too slowly; it never looked whole."
    ),
    Code.NO_ROUTE: CodeInfo(404, Run.NO, 43, "No route has this host and path."),
    Code.BODY_TOO_LARGE: CodeInfo(
        413, Run.NO, 44, "The body is larger than the limits allow."
    ),
    Code.TARGET_REFUSED: CodeInfo(
        503, Run.NO, 45, "The target said that it did not run the request."
    ),
    Code.WORKSPACE_KEY_MISSING: CodeInfo(
        401, Run.NO, 46, "The route needs the key of a workspace; none was sent."
    ),
    Code.WORKSPACE_KEY_UNKNOWN: CodeInfo(401, Run.NO, 47, "No workspace has this key."),
    Code.NO_COMMON_HOME: CodeInfo(
        503, Run.NO, 48, "No region is a home of both the route and the workspace."
    ),
    Code.QUOTA_EXCEEDED: CodeInfo(
        429, Run.NO, 49, "The workspace has used up its quota. Come back as told."
    ),
    Code.WORKSPACE_KEY_UNCONFIRMED: CodeInfo(
        503, Run.NO, 58, "Whether the key still holds can't be known here now."
    ),
    Code.QUARANTINED: CodeInfo(
        503, Run.NO, 59, "Targets end when they run this request; it is held back."
    ),
    Code.TARGETS_LIMITED: CodeInfo(
        503, Run.NO, 60, "The limits that targets set for all entries are used up."
    ),
    Code.TARGETS_RESTING: CodeInfo(
        503, Run.NO, 61, "All targets that may serve it want rest of this entry."
    ),
    Code.REGION_FULL: CodeInfo(
        503, Run.NO, 62, "The only region that may serve it is full, with other keys."
    ),
    Code.TARGETS_UNREACHABLE: CodeInfo(
        503, Run.NO, 63, "No target can be reached, directly or through another entry."
    ),
    Code.MEMORY_FULL: CodeInfo(
        503, Run.NO, 64, "Requests that clients send hold too much memory here now."
    ),
    Code.ANSWER_LOST: CodeInfo(
        502, Run.MAYBE, 50, "The request went out and its answer was lost."
    ),
    Code.ISSUER_GONE: CodeInfo(
        410, Run.MAYBE, 51, "The process that issued the key is gone; it may have run."
    ),
    Code.DEADLINE_PASSED: CodeInfo(
        504, Run.MAYBE, 52, "The deadline passed while the request was running."
    ),
    Code.STILL_RUNNING: CodeInfo(
        409, Run.MAYBE, 53, "A request with this key is running; ask again as told."
    ),
    Code.ISSUER_UNREACHABLE: CodeInfo(
        503, Run.MAYBE, 56, "The process that issued the key cannot be reached now."
    ),
    Code.KEY_EXPIRED: CodeInfo(
        410, Run.MAYBE, 57, "The key is too old; its outcome is no longer known."
    ),
    Code.ALREADY_RAN: CodeInfo(
        200, Run.YES, 55, "It ran once; the answer's body was too large to keep."
    ),
    Code.BAD_SETTING: CodeInfo(500, Run.NO, 2, "A setting is missing or wrong."),
}


def code_info(code: Code) -> CodeInfo:
    """Return the properties of a code.

    Args:
      code: the numbered code.
    Returns: its HTTP status, run verdict, exit status and meaning.
    """
    return _CODE_INFO[code]


def release_frames(error: BaseException) -> None:
    """Free the local variables that an error and those before it refer to.

    An error refers to the frames that it passed, and these often to the error, so that
    all they hold is freed only when garbage is collected.
    """
    chained: BaseException | None = error
    while chained is not None:
        traceback.clear_frames(chained.__traceback__)
        chained.__traceback__ = None
        before, chained.__context__ = chained.__context__, None
        chained = before


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Wire form of an error, sent to operators and callers; see `LeverdoorError`."""

    code: int
    name: str
    detail: str
    field: str = ""
    run: Run = Run.NO
    retry_after_ms: int = 0
    revision: int = 0


class LeverdoorError(Exception):
    """Base class of all errors that carry a numbered code."""

    def __init__(
        self,
        code: Code,
        detail: str = "",
        *,
        field: str = "",
        retry_after_ms: int = 0,
        revision: int = 0,
    ) -> None:
        """Create an error.

        Args:
          code: the numbered code.
          detail: human-readable cause; the code's meaning if empty.
          field: the invalid setting or resource field, in dotted form.
          retry_after_ms: delay before a retry, in milliseconds; 0 for no retry.
          revision: the current revision, for CONFLICT and COMPACTED; else 0.
        """
        self.code = code
        self.detail = detail or code_info(code).meaning
        self.field = field
        self.retry_after_ms = retry_after_ms
        self.revision = revision
        super().__init__(f"{int(code)} {code.name}: {self.detail}")

    @property
    def run(self) -> Run:
        """The run verdict of the code."""
        return code_info(self.code).run

    def problem(self) -> Problem:
        """Return the wire form of the error."""
        return Problem(
            code=int(self.code),
            name=self.code.name,
            detail=self.detail,
            field=self.field,
            run=self.run,
            retry_after_ms=self.retry_after_ms,
            revision=self.revision,
        )


class ConfigError(LeverdoorError):
    """A resource or another JSON document is invalid; nothing was stored."""


class SettingsError(LeverdoorError):
    """A setting or a command-line address is missing or invalid."""

    def __init__(self, detail: str, *, field: str = "") -> None:
        """Create the error.

        Args:
          detail: human-readable cause.
          field: the invalid setting.
        """
        super().__init__(Code.BAD_SETTING, detail, field=field)


class Refusal(LeverdoorError):
    """A request was abandoned; the code says whether it may have run.

    If the request did not run and may be retried, the error always has a retry delay.
    """

    def __init__(
        self, code: Code, detail: str = "", *, retry_after_ms: int = 0
    ) -> None:
        """Create the error.

        Args:
          code: the numbered code.
          detail: human-readable cause; the code's meaning if empty.
          retry_after_ms: delay before a retry, in milliseconds. 0 means
            DEFAULT_RETRY_MS if the code allows a retry, else no retry.
        """
        info = code_info(code)
        if info.run is Run.NO and info.status in RETRYABLE_STATUSES:
            retry_after_ms = retry_after_ms or DEFAULT_RETRY_MS
        super().__init__(code, detail, retry_after_ms=retry_after_ms)


class Rejection(msgspec.Struct, frozen=True):
    """Decision not to serve a request, made before any byte of it was sent."""

    code: Code
    retry_after_ms: int
    """Delay before the caller retries, in milliseconds."""
    reason: str = ""
    """Why the request was rejected, for the log and the caller.

    If empty, the meaning of the code is used.
    """

    def refusal(self) -> Refusal:
        """Return the error that reports the decision to the caller."""
        return Refusal(self.code, self.reason, retry_after_ms=self.retry_after_ms)


class StoreUnavailable(LeverdoorError):
    """The store did not accept the call; nothing was written."""

    def __init__(self, detail: str = "", retry_after_ms: int = 2000) -> None:
        """Create the error; `retry_after_ms` is the retry delay in milliseconds."""
        super().__init__(Code.STORE_UNAVAILABLE, detail, retry_after_ms=retry_after_ms)


class OutcomeUnknown(LeverdoorError):
    """A write was sent to the store and its response was lost."""

    def __init__(self, detail: str = "", retry_after_ms: int = 2000) -> None:
        """Create the error; `retry_after_ms` is the retry delay in milliseconds."""
        super().__init__(Code.WRITE_UNKNOWN, detail, retry_after_ms=retry_after_ms)
