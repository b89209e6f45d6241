# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Validates resources and writes them to the store in one transaction.

Every write replaces the guard key on condition of its revision, which puts all writes
in one order (docs/DESIGN.md, Configuration). If the response to a write is lost, the
guard shows whether the write took effect: it then contains the id of the write. Keeps
no state outside the store; relies on the store's compare-and-swap.
"""

import uuid
from collections.abc import Callable, Mapping, Sequence
from typing import TypeAlias

import msgspec
from loguru import logger
from returns.result import Failure, Result, Success

from leverdoor.codec import decode_json
from leverdoor.errors import (
    Code,
    ConfigError,
    LeverdoorError,
    OutcomeUnknown,
    StoreUnavailable,
)
from leverdoor.model.resource_checks import check_removal, validate
from leverdoor.model.resources import Resource, resource_key, serialize_resource
from leverdoor.storage.state import GUARD, PREFIX, RESOURCES, State
from leverdoor.storage.store import KeyValue, Store, Write
from leverdoor.storage.view import ViewCache, parse_entries

__all__ = ["Applied", "Configuration", "Guard"]

MAX_GUARD_WRITES = 64
"""Maximum number of write ids in the guard.

Half of etcd's default limit of 128 operations in a transaction; the ids are in one
value and do not count towards that limit. After that many later writes, a write whose
response was lost is not recognized.
"""
MAX_ATTEMPTS = 6
"""Maximum number of attempts to commit a change, including the first.

After the last conflict the command returns CONFLICT, and the operator can inspect the
concurrent writes. Each attempt costs the store a read and a write.
"""
CONFLICT_RETRY_MS = 500
"""Retry-After of a CONFLICT, in ms.

Long enough for concurrent writes to finish, too short for an operator to notice.
"""
MAX_RESOURCES = 100
"""Maximum number of resources in one document.

With the guard, the transaction stays below etcd's default limit of 128 operations.
"""


class Guard(msgspec.Struct):
    """Ids of the last configuration writes that took effect, newest last.

    Every configuration write replaces the guard on condition of its revision. Writes
    therefore take effect one after another, each validated against all earlier ones.
    """

    writes: list[str] = []


class Applied(msgspec.Struct, frozen=True):
    """Result of an accepted write or a valid dry run, whose `revision` is 0."""

    revision: int
    keys: list[str]


class _Snapshot(msgspec.Struct):
    """Resources and guard against which a write is validated, with their revisions."""

    resources: dict[str, Resource]
    revisions: dict[str, int]
    guard: Guard
    guard_revision: int


_BuildWrites: TypeAlias = Callable[[_Snapshot], Result[list[Write], ConfigError]]


class Configuration:
    """Executes the commands that change resources."""

    def __init__(
        self, store: Store, state: State, cache: ViewCache | None = None
    ) -> None:
        """Create the commands of an agent.

        Args:
          store: the platform's key-value service.
          state: a replica, which may lag. The store is read instead if the replica is
            empty, and for each attempt after the first.
          cache: the compiled replica; without it, every command parses all resources.
        """
        self._cache = cache
        self._store = store
        self._state = state

    async def apply(
        self,
        resources: Sequence[Resource],
        conditions: Mapping[str, int] | None = None,
        dry_run: bool = False,
    ) -> Result[Applied, LeverdoorError]:
        """Create or replace resources atomically.

        Args:
          resources: the resources to write; at most MAX_RESOURCES.
          conditions: the required revision by key; 0 requires an absent key.
          dry_run: validate only.
        Returns: the accepted write, or the error if nothing was written.
        """
        if len(resources) > MAX_RESOURCES:
            return Failure(
                ConfigError(
                    Code.MALFORMED, f"more than {MAX_RESOURCES} resources at once"
                )
            )

        def build_writes(snapshot: _Snapshot) -> Result[list[Write], ConfigError]:
            checked = validate(resources, snapshot.resources)
            return checked.map(
                lambda _: [
                    Write(RESOURCES + resource_key(r), serialize_resource(r))
                    for r in resources
                ]
            )

        keys = [resource_key(r) for r in resources]
        return await self._commit(keys, conditions or {}, build_writes, dry_run)

    async def delete(
        self, key: str, condition: int | None = None, dry_run: bool = False
    ) -> Result[Applied, LeverdoorError]:
        """Delete a resource that no other resource refers to.

        Args:
          key: the resource as `kind/name`.
          condition: the required revision; None for any.
          dry_run: validate only.
        Returns: the accepted write, or the error if nothing was written.
        """

        def build_writes(snapshot: _Snapshot) -> Result[list[Write], ConfigError]:
            if key not in snapshot.resources:
                return Failure(ConfigError(Code.NOT_FOUND, f"there is no {key}"))
            checked = check_removal(key, snapshot.resources)
            return checked.map(lambda _: [Write(RESOURCES + key, None)])

        conditions = {} if condition is None else {key: condition}
        return await self._commit([key], conditions, build_writes, dry_run)

    async def _commit(
        self,
        keys: list[str],
        conditions: Mapping[str, int],
        build_writes: _BuildWrites,
        dry_run: bool,
    ) -> Result[Applied, LeverdoorError]:
        """Validate and write.

        Repeats both after a conflict with a concurrent write, and after a failed
        validation against the replica unless it is a dry run.
        """
        try:
            for attempt in range(MAX_ATTEMPTS):
                snapshot = await self._snapshot(fresh=attempt > 0)
                checked = _check_conditions(conditions, snapshot).bind(
                    lambda s: build_writes(s)
                )
                if isinstance(checked, Failure):
                    error = checked.failure()
                    # The replica may lag: validate against the store before rejecting.
                    if attempt == 0 and not dry_run:
                        continue
                    return Failure(error)
                if dry_run:
                    return Success(Applied(0, keys))
                revision = await self._write(checked.unwrap(), snapshot)
                if revision:
                    return Success(Applied(revision, keys))
        except LeverdoorError as e:
            return Failure(e)
        return Failure(
            ConfigError(
                Code.CONFLICT,
                "concurrent writes by other operators caused repeated conflicts; "
                "nothing was written",
                retry_after_ms=CONFLICT_RETRY_MS,
            )
        )

    async def _snapshot(self, fresh: bool) -> _Snapshot:
        """Return the state to validate against; the replica unless `fresh` is set."""
        if fresh or self._state.revision == 0:
            listing = await self._store.read(PREFIX)
            entries = {e.key: e for e in listing.entries}
        else:
            entries = dict(self._state.entries)
        stored = [e for k, e in entries.items() if k.startswith(RESOURCES)]
        guard = entries.get(GUARD)
        return _Snapshot(
            parse_entries(
                stored, self._cache.view if self._cache else None, self._state
            ),
            {e.key.removeprefix(RESOURCES): e.revision for e in stored},
            _parse_guard(guard),
            guard.revision if guard else 0,
        )

    async def _write(self, writes: list[Write], snapshot: _Snapshot) -> int:
        """Write on condition that the guard is unchanged.

        Returns: the revision of the write, or 0 if a concurrent write replaced the
          guard.
        Raises:
          StoreUnavailable: nothing was written.
          OutcomeUnknown: the outcome of the write cannot be determined now.
        """
        write_id = uuid.uuid4().hex
        write_ids = [*snapshot.guard.writes, write_id][-MAX_GUARD_WRITES:]
        guard = msgspec.json.encode(Guard(write_ids))
        batch = [*writes, Write(GUARD, guard, snapshot.guard_revision)]
        try:
            result = await self._store.commit(batch)
        except OutcomeUnknown as e:
            logger.warning("answer of a write lost", write=write_id, error=str(e))
            return await self._resolve(write_id, snapshot)
        return result.revision if result.committed else 0

    async def _resolve(self, write_id: str, snapshot: _Snapshot) -> int:
        """Determine whether a write was committed; if not, prevent a later commit.

        A delayed write can be committed as long as the guard has the revision that the
        write expects. Replacing the guard makes the condition of the write fail.

        Returns: the current revision of the guard if it contains the write's id, or 0
          if the write was not and will not be committed.
        Raises:
          OutcomeUnknown: the store did not respond.
        """
        try:
            listing = await self._store.read(GUARD)
            entry = listing.entries[0] if listing.entries else None
            guard = _parse_guard(entry)
            if write_id in guard.writes and entry is not None:
                return entry.revision
            revision = entry.revision if entry else 0
            if revision != snapshot.guard_revision:
                return 0
            fence = Write(GUARD, msgspec.json.encode(guard), revision)
            result = await self._store.commit([fence])
            return 0 if result.committed else await self._resolve(write_id, snapshot)
        except StoreUnavailable as e:
            raise OutcomeUnknown(e.detail) from None


def _parse_guard(entry: KeyValue | None) -> Guard:
    """Return the guard; an unreadable one counts as empty, and is replaced."""
    if entry is None:
        return Guard([])
    try:
        return decode_json(entry.value, Guard)
    except msgspec.MsgspecError as e:
        logger.error("guard of writes cannot be read", key=entry.key, error=str(e))
        return Guard([])


def _check_conditions(
    conditions: Mapping[str, int], snapshot: _Snapshot
) -> Result[_Snapshot, ConfigError]:
    for key, required in conditions.items():
        actual = snapshot.revisions.get(key, 0)
        if actual != required:
            return Failure(
                ConfigError(
                    Code.CONFLICT,
                    f"{key} is at revision {actual}, not {required}",
                    revision=actual,
                )
            )
    return Success(snapshot)
