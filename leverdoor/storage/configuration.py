# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Writes resources to the store: all checks first, then one transaction.

Every write replaces the guard key under a condition, so that writes take effect one
after another (docs/DESIGN.md, Configuration). A write whose answer is lost is looked
up by its id in the guard. Owns no state but the store's; relies on its
compare-and-swap.
"""

import uuid
from collections.abc import Callable, Mapping, Sequence
from typing import TypeAlias

import msgspec
from loguru import logger
from returns.result import Failure, Result, Success

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

GUARD_WRITES = 64
"""Resources written in one transaction: half of etcd's usual limit of 128."""
ATTEMPTS = 6
"""Attempts of a transaction that other operators overtook.

An operator that is overtaken that often gets CONFLICT and can look at what the others
wrote; each attempt costs the store a read and a write.
"""
CONFLICT_RETRY_MS = 500
"""When an operator whom others overtook may write again, in ms.

The others' writes are done by then, and a person does not notice it.
"""
MAX_RESOURCES = 100
"""Resources of one document at most: with the guard it stays below etcd's usual 128
operations of a transaction."""


class Guard(msgspec.Struct):
    """The last configuration writes that took effect, newest last.

    Every configuration write replaces it under a condition, so writes take
    effect one after another and each is checked against all before it.
    """

    writes: list[str] = []


class Applied(msgspec.Struct, frozen=True):
    """An accepted write; dry runs have revision 0."""

    revision: int
    keys: list[str]


class _Snapshot(msgspec.Struct):
    """What a write is checked against, and the revisions that it rests on."""

    resources: dict[str, Resource]
    revisions: dict[str, int]
    guard: Guard
    guard_revision: int


_Writes: TypeAlias = Callable[[_Snapshot], Result[list[Write], ConfigError]]


class Configuration:
    """Commands on resources."""

    def __init__(
        self, store: Store, state: State, cache: ViewCache | None = None
    ) -> None:
        """Create it.

        Args:
          store: the platform's service.
          state: a copy that may lag; conflicts are then read afresh.
          cache: what is compiled of the copy, so that it is parsed only once.
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
        """Create or replace resources, all or none.

        Args:
          resources: what to write; at most MAX_RESOURCES.
          conditions: by key, the revision it must stand at; 0 for absent.
          dry_run: check only.
        Returns: what was accepted, or why nothing was written.
        """
        if len(resources) > MAX_RESOURCES:
            return Failure(
                ConfigError(
                    Code.MALFORMED, f"more than {MAX_RESOURCES} resources at once"
                )
            )

        def writes(snapshot: _Snapshot) -> Result[list[Write], ConfigError]:
            checked = validate(resources, snapshot.resources)
            return checked.map(
                lambda _: [
                    Write(RESOURCES + resource_key(r), serialize_resource(r))
                    for r in resources
                ]
            )

        keys = [resource_key(r) for r in resources]
        return await self._commit(keys, conditions or {}, writes, dry_run)

    async def delete(
        self, key: str, condition: int | None = None, dry_run: bool = False
    ) -> Result[Applied, LeverdoorError]:
        """Delete a resource that nothing refers to."""

        def writes(snapshot: _Snapshot) -> Result[list[Write], ConfigError]:
            if key not in snapshot.resources:
                return Failure(ConfigError(Code.NOT_FOUND, f"there is no {key}"))
            checked = check_removal(key, snapshot.resources)
            return checked.map(lambda _: [Write(RESOURCES + key, None)])

        conditions = {} if condition is None else {key: condition}
        return await self._commit([key], conditions, writes, dry_run)

    async def _commit(
        self,
        keys: list[str],
        conditions: Mapping[str, int],
        writes: _Writes,
        dry_run: bool,
    ) -> Result[Applied, LeverdoorError]:
        """Check and write, again while other operators get in between."""
        try:
            for attempt in range(ATTEMPTS):
                snapshot = await self._snapshot(fresh=attempt > 0)
                found = _check_conditions(conditions, snapshot).bind(
                    lambda s: writes(s)
                )
                if isinstance(found, Failure):
                    error = found.failure()
                    if attempt == 0 and not dry_run:
                        continue
                    return Failure(error)
                if dry_run:
                    return Success(Applied(0, keys))
                revision = await self._write(found.unwrap(), snapshot)
                if revision:
                    return Success(Applied(revision, keys))
        except LeverdoorError as e:
            return Failure(e)
        return Failure(
            ConfigError(
                Code.CONFLICT,
                "other operators kept writing in between; nothing was written",
                retry_after_ms=CONFLICT_RETRY_MS,
            )
        )

    async def _snapshot(self, fresh: bool) -> _Snapshot:
        """Take the state to check against; the copy will do for a first try."""
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
        """Write under the guard.

        Returns: the revision, or 0 if somebody else wrote in between.
        Raises:
          StoreUnavailable: nothing was written.
          OutcomeUnknown: it cannot be found out now whether it was.
        """
        write_id = uuid.uuid4().hex
        names = [*snapshot.guard.writes, write_id][-GUARD_WRITES:]
        guard = msgspec.json.encode(Guard(names))
        batch = [*writes, Write(GUARD, guard, snapshot.guard_revision)]
        try:
            done = await self._store.commit(batch)
        except OutcomeUnknown as e:
            logger.warning("answer of a write lost", write=write_id, error=str(e))
            return await self._resolve(write_id, snapshot)
        return done.revision if done.taken else 0

    async def _resolve(self, write_id: str, snapshot: _Snapshot) -> int:
        """Find out whether a write took effect, and see that it won't later.

        If the guard still stands where the write expected it, the write may
        yet arrive; replacing the guard makes that impossible.
        """
        try:
            listing = await self._store.read(GUARD)
            entry = listing.entries[0] if listing.entries else None
            guard = _parse_guard(entry)
            if write_id in guard.writes and entry is not None:
                return entry.revision
            at = entry.revision if entry else 0
            if at != snapshot.guard_revision:
                return 0
            fence = Write(GUARD, msgspec.json.encode(guard), at)
            done = await self._store.commit([fence])
            return 0 if done.taken else await self._resolve(write_id, snapshot)
        except StoreUnavailable as e:
            raise OutcomeUnknown(e.detail) from None


def _parse_guard(entry: KeyValue | None) -> Guard:
    return msgspec.json.decode(entry.value, type=Guard) if entry else Guard([])


def _check_conditions(
    conditions: Mapping[str, int], snapshot: _Snapshot
) -> Result[_Snapshot, ConfigError]:
    for key, wanted in conditions.items():
        have = snapshot.revisions.get(key, 0)
        if have != wanted:
            return Failure(
                ConfigError(
                    Code.CONFLICT,
                    f"{key} is at revision {have}, not {wanted}",
                    revision=have,
                )
            )
    return Success(snapshot)
