# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Translates the keys of the platform's store into the product's resources.

Owns the last configuration that could be read, and the targets as they were translated,
so that only what changed is decoded; lost with the process.
"""

import re
from collections.abc import Mapping, Sequence

import msgspec
from loguru import logger

from leverdoor.entry.wire import Configured, LeftOut, TargetLoad, UnreadableReport
from leverdoor.limits.named import UnreadableLimit
from leverdoor.model.resources import Drain, Region, Resource, Target
from leverdoor.platform.documents import Config
from leverdoor.platform.registrations import (
    BadRegistration,
    Places,
    read_registration,
)
from leverdoor.storage.store import KeyValue

__all__ = [
    "QUARANTINE_PREFIX",
    "ENTRY_PREFIX",
    "Translator",
    "parse_leaving",
    "parse_limit",
    "parse_load",
    "parse_rest",
]

CONFIG_KEY = "op/config"
"""The key of the operator's configuration."""
EVACUATION_PREFIX = "op/evacuate/"
"""A key below it names a failure domain that gets no new requests."""
REGISTRATION_PREFIX = "servers/"
"""Below it targets register, each under its name."""
ENTRY_PREFIX = "leverdoor/entries/"
"""Below it entries register, each under its name."""
QUARANTINE_PREFIX = "leverdoor/quarantine/"
"""Below it stand the requests that are held back, each under its fingerprint."""
LOAD_FIGURES = 3
"""Figures of a target's load: running, waiting, slots."""
TURNED_AWAY = 503
"""HTTP status of an answer that may ask for rest; elsewhere its header means others."""
SECONDS = re.compile(r"[0-9]+(\.[0-9]+)?")
"""A plain decimal number, of any length; a date is none."""
LEAVES, STAYS = "1", "0"
"""What a target may say of whether it leaves."""
LIMIT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
"""A plain decimal number: no sign, no exponent, no other base, and finite."""


class Translator:
    """Turns the store's keys into resources; unchanged ones only once."""

    def __init__(self, zones: Mapping[str, str]) -> None:
        """Create it.

        Args:
          zones: each failure domain's region.
        """
        self._zones = zones
        """Each failure domain's region."""
        self._regions = [
            Region(name=r, domains=sorted(z for z, of in zones.items() if of == r))
            for r in sorted(set(zones.values()))
        ]
        self._config_revision = 0
        self._config = Config(version="")
        self._config_resources: list[Resource] = []
        self._places = Places(zones, frozenset())
        self._targets: dict[str, tuple[int, Target]] = {}
        """By key, with the revision that was translated."""
        self._left_out: dict[str, LeftOut] = {}
        """Those of which nothing is used, by key."""

    def __call__(self, entries: Mapping[str, KeyValue]) -> Configured:
        """Translate all keys of the store."""
        config = entries.get(CONFIG_KEY)
        if config is not None and config.revision != self._config_revision:
            self._take_config(config)
        resources = [*self._regions, *self._config_resources]
        peers: dict[str, bytes] = {}
        held: dict[str, KeyValue] = {}
        targets: dict[str, tuple[int, Target]] = {}
        left_out: dict[str, LeftOut] = {}
        for key, entry in entries.items():
            if key.startswith(REGISTRATION_PREFIX):
                try:
                    targets[key] = self._target(entry)
                except _LeftOutError as e:
                    left_out[key] = e.left_out
            elif key.startswith(EVACUATION_PREFIX):
                zone = key.removeprefix(EVACUATION_PREFIX)
                resources.append(Drain(name=zone, domain=zone))
            elif key.startswith(ENTRY_PREFIX):
                peers[key.removeprefix(ENTRY_PREFIX)] = entry.value
            elif key.startswith(QUARANTINE_PREFIX):
                held[key.removeprefix(QUARANTINE_PREFIX)] = entry
        self._targets = targets
        self._left_out = left_out
        resources += [target for _, target in targets.values()]
        bad = list(left_out.values())
        return Configured(self._config.version, resources, peers, held, bad)

    def _take_config(self, entry: KeyValue) -> None:
        """Read a new configuration; one that can't be read leaves the last in force."""
        try:
            config = msgspec.json.decode(entry.value, type=Config)
            self._config_resources = config.resources()
            self._config = config
            self._take_services(config)
        except msgspec.MsgspecError as e:
            logger.error("configuration not taken", key=entry.key, error=str(e))
        self._config_revision = entry.revision

    def _take_services(self, config: Config) -> None:
        """Take the services that targets may be of, and look at all targets again."""
        services = frozenset(config.service_names())
        if services != self._places.services:
            self._places = Places(self._zones, services)
            self._targets = {}
            self._left_out = {}

    def _target(self, entry: KeyValue) -> tuple[int, Target]:
        """Return a target with its revision.

        Raises:
          _LeftOutError: the registration names none to use.
        """
        known = self._targets.get(entry.key)
        if known is not None and known[0] == entry.revision:
            return known
        bad = self._left_out.get(entry.key)
        if bad is not None and bad.revision == entry.revision:
            raise _LeftOutError(bad)
        name = entry.key.removeprefix(REGISTRATION_PREFIX)
        try:
            return entry.revision, read_registration(name, entry.value, self._places)
        except BadRegistration as e:
            left_out = LeftOut(name, e.cause.value, str(e), entry.revision)
            raise _LeftOutError(left_out) from None


class _LeftOutError(Exception):
    """A registration is left out.

    Attributes:
      left_out: which, and why.
    """

    def __init__(self, left_out: LeftOut) -> None:
        super().__init__(left_out.detail)
        self.left_out = left_out


def parse_load(text: str) -> TargetLoad | None:
    """Parse the load that a target reports: running, waiting, slots.

    The figure for running requests still counts the one that is being answered: of
    12,000 loads reported under high and low load none was below one. It has ended for
    the reader, so it is taken off here.

    Returns: None if the text is not a load.
    """
    parts = text.split(",")
    if len(parts) != LOAD_FIGURES or not all(p.strip().isdigit() for p in parts):
        return None
    running, waiting, slots = (int(p) for p in parts)
    return TargetLoad(max(running - 1, 0), waiting, slots)


def parse_limit(values: Sequence[str]) -> float | None:
    """Parse the limit that a target names: requests a second, a decimal number.

    Args:
      values: of all headers that should have it.
    Returns: None if there is no such header.
    Raises:
      UnreadableLimit: there are several, or what is there is no plain decimal number.
        It is never taken for a limit of zero.
    """
    if not values:
        return None
    if len(values) > 1 or not LIMIT.fullmatch(values[0].strip()):
        raise UnreadableLimit(", ".join(values))
    return float(values[0])


def parse_leaving(values: Sequence[str]) -> bool:
    """Parse whether a target says that it leaves.

    Args:
      values: of all headers that should say so.
    Returns: False if there is no such header.
    Raises:
      UnreadableReport: one says neither, or they differ.
    """
    said = {value.strip() for value in values}
    if not said or said == {STAYS}:
        return False
    if said != {LEAVES}:
        raise UnreadableReport(", ".join(values))
    return True


def parse_rest(status: int, values: Sequence[str]) -> float | None:
    """Parse the rest that a target asks for with an answer, in seconds.

    Args:
      status: the answer's HTTP status.
      values: of all headers that should name it.
    Returns: None if the target asks for none; infinity for a number beyond a float's.
    Raises:
      UnreadableReport: there are several, or what is there is no plain decimal number.
    """
    if status != TURNED_AWAY or not values:
        return None
    if len(values) > 1 or not SECONDS.fullmatch(values[0].strip()):
        raise UnreadableReport(", ".join(values))
    return float(values[0])
