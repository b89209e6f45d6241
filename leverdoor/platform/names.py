# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The platform's headers, paths and bodies, as a wire of the entry."""

from collections.abc import Mapping

import msgspec

from leverdoor.entry.wire import HeaderNames, Wire
from leverdoor.platform.formats import PEERS, Translator, parse_load

__all__ = ["wire"]


class _Resolved(msgspec.Struct, rename="kebab"):
    addresses: list[str]
    ttl_s: float


def wire(zones: Mapping[str, str]) -> Wire:
    """Return how the platform speaks.

    Args:
      zones: each zone's region.
    """
    return Wire(
        headers=HeaderNames(
            request_id="x-request-id",
            deadline_ms="x-deadline-ms",
            affinity="x-affinity-key",
            instance="x-expect-instance",
            stamp="x-server-stamp",
            not_run="x-not-executed",
            load="x-server-load",
            workspace_key="x-credential",
            workspace="x-tenant",
        ),
        ready_path="/api/readiness",
        resolve_path="/api/resolve",
        parse_resolve=_parse_resolve,
        serialize_resolve=_serialize_resolve,
        parse_load=parse_load,
        translate=Translator(zones),
        peer_key=lambda name: PEERS + name,
    )


def _parse_resolve(query: Mapping[str, str]) -> tuple[str, str, str]:
    return query.get("name", ""), query.get("region", ""), query.get("zone", "")


def _serialize_resolve(addresses: list[str], ttl_s: float) -> bytes:
    return msgspec.json.encode(_Resolved(addresses, ttl_s))
