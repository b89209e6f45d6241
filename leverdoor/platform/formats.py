# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Translates the contents of the platform's store and target headers.

`Translator` owns the last valid configuration and the translated targets, so that it
decodes only keys that changed. This state is lost with the process and rebuilt from the
store.
"""

import re
from collections.abc import Mapping, Sequence

import msgspec
from loguru import logger

from leverdoor.codec import decode_json, decode_nested_json
from leverdoor.entry.wire import (
    LeftOutRegistration,
    StoreContents,
    TargetLoad,
    UnreadableReport,
)
from leverdoor.limits.advertised import UnreadableLimit
from leverdoor.model.position import START, Position
from leverdoor.model.resources import Drain, Region, Resource, Target
from leverdoor.platform.documents import OperatorConfig
from leverdoor.platform.registrations import (
    AllowedReferences,
    InvalidRegistrationError,
    parse_registration,
)
from leverdoor.storage.retention import UNREADABLE, RecordFacts, RecordKind
from leverdoor.storage.store import KeyValue

__all__ = [
    "QUARANTINE_PREFIX",
    "ENTRY_PREFIX",
    "Translator",
    "describe_record",
    "parse_leaving",
    "parse_limit",
    "parse_load",
    "parse_rest",
]

CONFIG_KEY = "op/config"
"""Key of the operator's configuration."""
EVACUATION_PREFIX = "op/evacuate/"
"""Prefix of keys for failure domains that receive no new requests; the name follows."""
REGISTRATION_PREFIX = "servers/"
"""Prefix of target registrations; the name of the target follows."""
ENTRY_PREFIX = "leverdoor/entries/"
"""Prefix of entry registrations; the name of the entry follows."""
QUARANTINE_PREFIX = "leverdoor/quarantine/"
"""Prefix of quarantine records; the fingerprint of the request follows."""
LEAVING_STATE = "draining"
"""State in the registration of a target that leaves."""
LOAD_PATTERN = re.compile(r"\s*[0-9]{1,9}\s*(,\s*[0-9]{1,9}\s*){2,3}", re.ASCII)
"""Running, waiting, slots and optionally the time that work takes, in percent of usual;
each a number of at most 9 ASCII digits.

`str.isdigit` also accepts digits that `int` does not, such as a superscript two."""
USUAL_TIME_OF_WORK = 100
"""Value of the fourth figure of a load if work takes as long as usual."""
SERVICE_UNAVAILABLE = 503
"""HTTP status with which a target may request a pause.

A `Retry-After` header in a response with another status does not request a pause.
"""
PAUSE_PATTERN = re.compile(r"[0-9]+(\.[0-9]+)?")
"""A decimal number of any length; the dates that the header permits do not match."""
LEAVES, STAYS = "1", "0"
"""Values of the header by which a target announces that it is leaving."""
LIMIT_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
"""A decimal number without sign, exponent or base prefix, with at most 9 digits on each
side of the point, so that it is finite."""


class Translator:
    """Translates the store's keys to resources; decodes each value only once."""

    def __init__(self, zones: Mapping[str, str]) -> None:
        """Create a translator without a configuration.

        Args:
          zones: region of each failure domain.
        """
        self._zones = zones
        """Region by failure domain."""
        self._regions = [
            Region(
                name=r, domains=sorted(z for z, region in zones.items() if region == r)
            )
            for r in sorted(set(zones.values()))
        ]
        self._config_position = START
        self._config = OperatorConfig(version="")
        self._config_resources: list[Resource] = []
        self._allowed = AllowedReferences(zones, frozenset())
        self._targets: dict[str, tuple[Position, Target]] = {}
        """Translated targets and their positions, by key."""
        self._left_out: dict[str, LeftOutRegistration] = {}
        """Rejected registrations, by key."""

    def __call__(self, items: Mapping[str, KeyValue]) -> StoreContents:
        """Translate all keys of the store to resources."""
        config = items.get(CONFIG_KEY)
        if config is not None and config.position != self._config_position:
            self._apply_config(config)
        resources = [*self._regions, *self._config_resources]
        peers: dict[str, bytes] = {}
        held: dict[str, KeyValue] = {}
        targets: dict[str, tuple[Position, Target]] = {}
        left_out: dict[str, LeftOutRegistration] = {}
        for key, item in items.items():
            if key.startswith(REGISTRATION_PREFIX):
                try:
                    targets[key] = self._target(item)
                except _RejectedError as e:
                    left_out[key] = e.left_out
            elif key.startswith(EVACUATION_PREFIX):
                zone = key.removeprefix(EVACUATION_PREFIX)
                resources.append(Drain(name=zone, domain=zone))
            elif key.startswith(ENTRY_PREFIX):
                peers[key.removeprefix(ENTRY_PREFIX)] = item.value
            elif key.startswith(QUARANTINE_PREFIX):
                held[key.removeprefix(QUARANTINE_PREFIX)] = item
        self._targets = targets
        self._left_out = left_out
        resources += [target for _, target in targets.values()]
        rejected = list(left_out.values())
        return StoreContents(self._config.version, resources, peers, held, rejected)

    def _apply_config(self, item: KeyValue) -> None:
        """Apply a new configuration; keep the previous one if it cannot be decoded."""
        try:
            config = decode_nested_json(item.value, OperatorConfig)
            self._config_resources = config.to_resources()
            self._config = config
            self._apply_services(config)
        except (msgspec.MsgspecError, ValueError, OverflowError) as e:
            # Values of the right type may still fit no resource, such as 1e400.
            logger.error("configuration not taken", key=item.key, error=str(e))
        # The position is kept for an invalid document as well, so that the document is
        # decoded and logged only once.
        self._config_position = item.position

    def _apply_services(self, config: OperatorConfig) -> None:
        """Update the allowed services; if they changed, check all targets again."""
        services = frozenset(config.service_names())
        if services != self._allowed.services:
            self._allowed = AllowedReferences(self._zones, services)
            self._targets = {}
            self._left_out = {}

    def _target(self, item: KeyValue) -> tuple[Position, Target]:
        """Return the target of a registration and the position of its key.

        Raises:
          _RejectedError: the registration is invalid.
        """
        known = self._targets.get(item.key)
        if known is not None and known[0] == item.position:
            return known
        rejected = self._left_out.get(item.key)
        if rejected is not None and rejected.position == item.position:
            raise _RejectedError(rejected)
        name = item.key.removeprefix(REGISTRATION_PREFIX)
        try:
            return item.position, parse_registration(name, item.value, self._allowed)
        except InvalidRegistrationError as e:
            left_out = LeftOutRegistration(name, e.cause.value, str(e), item.position)
            raise _RejectedError(left_out) from None


class _RejectedError(Exception):
    """A registration was rejected.

    Attributes:
      left_out: the registration and the reason.
    """

    def __init__(self, left_out: LeftOutRegistration) -> None:
        super().__init__(left_out.detail)
        self.left_out = left_out


class _Versioned(msgspec.Struct):
    """The part of a configuration that orders it."""

    version: str


class _Sequenced(msgspec.Struct):
    """The part of a registration that orders it."""

    sequence: int
    state: str


def describe_record(key: str, value: bytes) -> RecordFacts:
    """Return the kind of a record and what orders its values.

    Args:
      key: key of the record.
      value: its value, of any content.
    """
    if key == CONFIG_KEY:
        return RecordFacts(RecordKind.CONFIGURATION, _version_number(value))
    if key.startswith(REGISTRATION_PREFIX):
        return _describe_registration(value)
    if key.startswith(EVACUATION_PREFIX):
        return RecordFacts(RecordKind.SWITCH)
    if key.startswith(QUARANTINE_PREFIX):
        return RecordFacts(RecordKind.OWN)
    return RecordFacts(RecordKind.TEMPORARY)


def _version_number(value: bytes) -> int:
    try:
        return int(decode_nested_json(value, _Versioned).version, 16)
    except (msgspec.MsgspecError, ValueError):
        return UNREADABLE


def _describe_registration(value: bytes) -> RecordFacts:
    try:
        found = decode_json(value, _Sequenced)
    except msgspec.MsgspecError:
        return RecordFacts(RecordKind.REGISTRATION, UNREADABLE)
    return RecordFacts(
        RecordKind.REGISTRATION, found.sequence, found.state == LEAVING_STATE
    )


def parse_load(text: str) -> TargetLoad | None:
    """Parse the load that a target reports: running, waiting, slots, time of work.

    The fourth figure is optional; 100 means that work takes as long as usual.

    The number of running requests includes the request whose response carries the
    report: none of 12,000 reports under high and low load was below one. The number is
    reduced by one because that request has ended for the receiver.

    Returns: the load, or None if the text is not a load.
    """
    if not LOAD_PATTERN.fullmatch(text):
        return None
    running, waiting, slots, *times = (int(figure) for figure in text.split(","))
    slowness = times[0] / USUAL_TIME_OF_WORK if times else 1.0
    return TargetLoad(max(running - 1, 0), waiting, slots, slowness)


def parse_limit(values: Sequence[str]) -> float | None:
    """Parse the rate limit that a target reports.

    Args:
      values: the values of all headers with the limit.
    Returns: requests per second, or None if there is no header.
    Raises:
      UnreadableLimit: there are several headers, or the value is not a plain decimal
        number. An invalid value is never treated as a limit of zero.
    """
    if not values:
        return None
    if len(values) > 1 or not LIMIT_PATTERN.fullmatch(values[0].strip()):
        raise UnreadableLimit(", ".join(values))
    return float(values[0])


def parse_leaving(values: Sequence[str]) -> bool:
    """Parse whether a target announces that it is leaving.

    Args:
      values: the values of all headers with the announcement.
    Returns: whether the target is leaving; False if there is no header.
    Raises:
      UnreadableReport: a value is neither "0" nor "1", or the values differ.
    """
    reported = {value.strip() for value in values}
    if not reported or reported == {STAYS}:
        return False
    if reported != {LEAVES}:
        raise UnreadableReport(", ".join(values))
    return True


def parse_rest(status: int, values: Sequence[str]) -> float | None:
    """Parse the pause, or rest, that a target requests with a response.

    Args:
      status: the HTTP status of the response.
      values: the values of all headers with the pause.
    Returns: the pause in seconds, or None if the target requests none; infinity if the
      number exceeds the range of a float.
    Raises:
      UnreadableReport: there are several headers, or the value is not a plain decimal
        number.
    """
    if status != SERVICE_UNAVAILABLE or not values:
        return None
    if len(values) > 1 or not PAUSE_PATTERN.fullmatch(values[0].strip()):
        raise UnreadableReport(", ".join(values))
    return float(values[0])
