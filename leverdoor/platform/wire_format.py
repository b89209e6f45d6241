# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The platform's headers, paths and message bodies, as the `Wire` of an entry.

Misleading names of the platform are explained where they are used. Owns no state.
"""

from collections.abc import Mapping

import msgspec

from leverdoor.entry.wire import HeaderNames, Lookup, Wire
from leverdoor.platform.formats import (
    ENTRY_PREFIX,
    QUARANTINE_PREFIX,
    Translator,
    describe_record,
    parse_leaving,
    parse_limit,
    parse_load,
    parse_rest,
)

__all__ = ["wire"]


class _LookupResponse(msgspec.Struct, rename="kebab"):
    """The response to a look-up: addresses of entries and their time to live."""

    addresses: list[str]
    ttl_s: float


def wire(zones: Mapping[str, str]) -> Wire:
    """Return the names, paths and formats that an entry uses on the platform.

    Args:
      zones: region of each failure domain; the platform calls these zones.
    """
    return Wire(
        headers=HeaderNames(
            request_id="x-request-id",
            deadline_ms="x-deadline-ms",
            affinity="x-affinity-key",
            instance="x-expect-instance",
            # Proves that the target itself sent the response.
            stamp="x-server-stamp",
            not_run="x-not-executed",
            load="x-server-load",
            limit="server-limit",
            leaving="server-leaving",
            rest="retry-after",  # The pause that a target requests.
            workspace_key="x-credential",
            workspace="x-tenant",  # The platform calls workspaces tenants.
        ),
        ready_path="/api/readiness",
        resolve_path="/api/resolve",
        parse_resolve=_parse_lookup,
        serialize_resolve=_serialize_lookup,
        parse_load=parse_load,
        parse_limit=parse_limit,
        parse_leaving=parse_leaving,
        parse_rest=parse_rest,
        translate=Translator(zones),
        describe_record=describe_record,
        peer_key=lambda name: ENTRY_PREFIX + name,
        quarantine_record_key=lambda fingerprint: QUARANTINE_PREFIX + fingerprint,
    )


def _parse_lookup(query: Mapping[str, str]) -> Lookup:
    # `name` is the host that the client intends to contact.
    return Lookup(query.get("name", ""), query.get("region", ""), query.get("zone", ""))


def _serialize_lookup(addresses: list[str], ttl_s: float) -> bytes:
    return msgspec.json.encode(_LookupResponse(addresses, ttl_s))
