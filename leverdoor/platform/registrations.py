# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Whether what stands under a target's key in the store names a target to use.

Any writer may have written it. Each field is checked for type and range here and
nowhere else: what is taken can be sent to, and encoded by all that carries it.
Owns no state; relies on the deployment's failure domains and on the services of the
operator's configuration.
"""

import re
from collections.abc import Container, Mapping
from enum import StrEnum
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from leverdoor.errors import SettingsError
from leverdoor.model.resources import Target
from leverdoor.settings import parse_address

__all__ = ["BadRegistration", "Cause", "Places", "read_registration"]

MOST_SLOTS = 10_000
"""Requests that a target may run at a time, as for targets of plain sites."""
LONGEST_COLD_MS = 3_600_000.0
"""Longest warm-up that is believed, in ms: an hour."""
MOST_COUNTED = (1 << 63) - 1
"""Greatest whole number of a count or a time."""
LONGEST_NAME = 200
"""Characters of a name; the store's keys have no more."""
OCTET = r"(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
FIRST_OCTET = r"(?:22[0-3]|2[01]\d|1\d\d|[1-9]\d?)"
"""Of a host's address: neither 0 nor one of several hosts."""
PORT = r"(?:6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]\d{4}|[1-9]\d{0,3})"
IPV4_ADDRESS = re.compile(rf"{FIRST_OCTET}(?:\.{OCTET}){{3}}:{PORT}", re.ASCII)
"""The usual form, which is checked without the slower general parser."""


class Cause(StrEnum):
    """Why a registration names no target to use."""

    UNREADABLE = "unreadable"
    """Not the document of a target: bytes, types, missing fields, ranges, state."""
    NAME = "name"
    ADDRESS = "address"
    DOMAIN = "domain"
    """A failure domain that the deployment doesn't have."""
    SERVICE = "service"
    """A service that the operator's configuration doesn't name."""


class BadRegistration(Exception):
    """A registration names no target to use.

    Attributes:
      cause: what is wrong.
    """

    def __init__(self, cause: Cause, detail: str) -> None:
        """Create it with what was found."""
        super().__init__(detail)
        self.cause = cause


class Places(msgspec.Struct, frozen=True):
    """What registrations may refer to."""

    zones: Mapping[str, str]
    """Each failure domain's region."""
    services: Container[str]


class _Server(msgspec.Struct, rename="kebab"):
    """What a target writes of itself under its lease; all fields are always there."""

    service: str
    address: str
    zone: str
    """Its failure domain."""
    version: str
    """Of its software."""
    slots: Annotated[int, Meta(ge=1, le=MOST_SLOTS)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, Meta(ge=0.0, le=LONGEST_COLD_MS)]
    """How much longer it is cold, from when this was written."""
    sequence: Annotated[int, Meta(ge=0, le=MOST_COUNTED)]
    """Grows each time that this is written."""
    born: Annotated[int, Meta(ge=0, le=MOST_COUNTED)] | msgspec.UnsetType = (
        msgspec.UNSET
    )
    """Start of its process, in ms since the epoch; not all deployments tell it."""


_DECODER = msgspec.json.Decoder(_Server)


def read_registration(name: str, data: bytes, places: Places) -> Target:
    """Return the target that a registration names.

    Args:
      name: the target's, from its key.
      data: what stands there.
      places: what it may refer to.
    Raises:
      BadRegistration: it names none to use.
    """
    if not _fits_header(name):
        raise BadRegistration(Cause.NAME, repr(name))
    try:
        server = _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as e:
        raise BadRegistration(Cause.UNREADABLE, str(e)) from None
    region = places.zones.get(server.zone)
    if region is None:
        raise BadRegistration(Cause.DOMAIN, repr(server.zone))
    if server.service not in places.services:
        raise BadRegistration(Cause.SERVICE, repr(server.service))
    if not _is_host_and_port(server.address):
        raise BadRegistration(Cause.ADDRESS, repr(server.address))
    return Target(
        name=name,
        service=server.service,
        region=region,
        domain=server.zone,
        address=server.address,
        slots=server.slots,
        draining=server.state == "draining",
        cold_ms=round(server.cold_remaining_ms),
    )


def _fits_header(name: str) -> bool:
    """Return whether a name can go into a header: printable ASCII without blanks."""
    if not 0 < len(name) <= LONGEST_NAME:
        return False
    return name.isascii() and name.isprintable() and " " not in name


def _is_host_and_port(text: str) -> bool:
    """Return whether a text is the IP address of a host, and a port.

    Loopback is one: a target may run beside its entry.
    """
    return bool(IPV4_ADDRESS.fullmatch(text)) or _is_other_host_and_port(text)


def _is_other_host_and_port(text: str) -> bool:
    """Return the same for IPv6, whose host stands in brackets."""
    if not text.startswith("[") or not text.isascii():
        return False
    try:
        parse_address(text)
    except SettingsError:
        return False
    return True
