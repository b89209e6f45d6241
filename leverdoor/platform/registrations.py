# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Validates the registrations of targets in the platform's store.

The store does not validate registrations. The type and range of each field are checked
here and nowhere else. The check guarantees that requests can be sent to an accepted
target and that every message that contains it can be encoded. Owns no state; relies on
the failure domains of the deployment and the services of the operator's configuration.
"""

import re
from collections.abc import Container, Mapping
from enum import StrEnum
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from leverdoor.codec import decode_json
from leverdoor.errors import SettingsError
from leverdoor.model.resources import Target
from leverdoor.settings import parse_address

__all__ = [
    "InvalidRegistrationError",
    "RejectionCause",
    "AllowedReferences",
    "parse_registration",
]

MAX_SLOTS = 10_000
"""Maximum number of concurrent requests of a target, as for `Target` resources."""
MAX_COLD_MS = 3_600_000.0
"""Maximum remaining warm-up time that is accepted, in ms: one hour."""
MAX_INT64 = (1 << 63) - 1
"""Maximum value of a counter or a timestamp."""
MAX_NAME_LENGTH = 200
"""Maximum length of a name in characters; the store limits whole keys to 200 bytes."""
OCTET = r"(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
FIRST_OCTET = r"(?:22[0-3]|2[01]\d|1\d\d|[1-9]\d?)"
"""First octet of a unicast address: not 0, multicast or reserved."""
PORT = r"(?:6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]\d{4}|[1-9]\d{0,3})"
IPV4_AND_PORT = re.compile(rf"{FIRST_OCTET}(?:\.{OCTET}){{3}}:{PORT}", re.ASCII)
"""IPv4 address and port; the pattern is faster than the general parser."""


class RejectionCause(StrEnum):
    """Reason why a registration is rejected."""

    UNREADABLE = "unreadable"
    """Invalid JSON, a missing field, or a field of the wrong type or range."""
    NAME = "name"
    """The name is not valid in a header."""
    ADDRESS = "address"
    """The address is not an IP address and a port."""
    DOMAIN = "domain"
    """The failure domain does not exist in the deployment."""
    SERVICE = "service"
    """The service does not exist in the operator's configuration."""


class InvalidRegistrationError(Exception):
    """A registration is invalid.

    Attributes:
      cause: the reason for the rejection.
    """

    def __init__(self, cause: RejectionCause, detail: str) -> None:
        """Create the error.

        Args:
          cause: the reason for the rejection.
          detail: the invalid value, or the message of the decoder.
        """
        super().__init__(detail)
        self.cause = cause


class AllowedReferences(msgspec.Struct, frozen=True):
    """Failure domains and services to which registrations may refer."""

    zones: Mapping[str, str]
    """Region by failure domain."""
    services: Container[str]


class _Server(msgspec.Struct, rename="kebab"):
    """The document that a target writes under its lease; only `born` is optional."""

    service: str
    address: str
    zone: str
    """Failure domain."""
    version: str
    """Software version; validated but not used."""
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    """Maximum number of concurrent requests."""
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, Meta(ge=0.0, le=MAX_COLD_MS)]
    """Remaining warm-up time, counted from the write of the registration."""
    sequence: Annotated[int, Meta(ge=0, le=MAX_INT64)]
    """Increases with each write; validated but not used."""
    born: Annotated[int, Meta(ge=0, le=MAX_INT64)] | msgspec.UnsetType = msgspec.UNSET
    """Start of the process, in ms since the epoch; validated but not used.

    Some deployments omit it."""


def parse_registration(name: str, data: bytes, allowed: AllowedReferences) -> Target:
    """Decode and validate the registration of a target.

    Args:
      name: the name of the target, from the key.
      data: the value of the key.
      allowed: the failure domains and services to which it may refer.
    Returns: the registered target.
    Raises:
      InvalidRegistrationError: the name or a field is invalid, or the failure domain or
        service does not exist.
    """
    if not _is_header_safe(name):
        raise InvalidRegistrationError(
            RejectionCause.NAME,
            f"{name!r} is not 1 to {MAX_NAME_LENGTH} printable ASCII non-spaces",
        )
    try:
        server = decode_json(data, _Server)
    except msgspec.MsgspecError as e:
        raise InvalidRegistrationError(RejectionCause.UNREADABLE, str(e)) from None
    region = allowed.zones.get(server.zone)
    if region is None:
        raise InvalidRegistrationError(
            RejectionCause.DOMAIN,
            f"{server.zone!r} is not a failure domain of the deployment",
        )
    if server.service not in allowed.services:
        raise InvalidRegistrationError(
            RejectionCause.SERVICE, f"{server.service!r} is not a configured service"
        )
    if not _is_ip_and_port(server.address):
        raise InvalidRegistrationError(
            RejectionCause.ADDRESS, f"{server.address!r} is not a unicast ip:port"
        )
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


def _is_header_safe(name: str) -> bool:
    """Return whether a name is valid in a header: printable ASCII without spaces."""
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        return False
    return name.isascii() and name.isprintable() and " " not in name


def _is_ip_and_port(text: str) -> bool:
    """Return whether a text is an IP address and a port; IPv4 must be unicast.

    Loopback addresses are valid because a target may run on the host of its entry.
    """
    return bool(IPV4_AND_PORT.fullmatch(text)) or _is_ipv6_and_port(text)


def _is_ipv6_and_port(text: str) -> bool:
    """Return whether a text is an IPv6 address in brackets and a port."""
    if not text.startswith("[") or not text.isascii():
        return False
    try:
        parse_address(text)
    except SettingsError:
        return False
    return True
