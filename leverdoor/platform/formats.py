# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What the operator and the targets keep in the store, as resources."""

from collections.abc import Mapping

import msgspec
from loguru import logger

from leverdoor.entry.wire import Configured, TargetLoad
from leverdoor.model.resources import (
    ClientLimits,
    Drain,
    Region,
    Resource,
    Route,
    Service,
    Target,
    WorkClass,
    Workspace,
)
from leverdoor.storage.store import KeyValue
from leverdoor.workspaces.keys import key_digest

__all__ = ["PEERS", "Translator", "parse_load"]

CONFIG = "op/config"
EVACUATIONS = "op/evacuate/"
SERVERS = "servers/"
PEERS = "leverdoor/entries/"

KINDS = {"safe": WorkClass.LOOKUP, "unsafe": WorkClass.ONCE, "upload": WorkClass.BULK}


class _Part(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 0
    target_latency_ms: float = 0
    priority: int = 0
    service: str = ""
    traffic_split: list[_Part] = []
    max_attempts: int = 1
    session_affinity: bool = False
    home_regions: list[str] = []
    allow_anonymous: bool = False

    def resource(self) -> Route:
        weights = {self.service: 1.0} if self.service else {}
        for part in self.traffic_split:
            weights[part.service] = weights.get(part.service, 0.0) + part.weight
        return Route(
            name=self.name,
            host=self.host,
            prefix=self.path_prefix,
            work=KINDS.get(self.kind, WorkClass.ONCE),
            services=weights,
            timeout_ms=round(self.timeout_ms),
            target_latency_ms=round(self.target_latency_ms),
            priority=self.priority,
            attempts=max(self.max_attempts, 1),
            affinity=self.session_affinity,
            homes=self.home_regions,
            anonymous=self.allow_anonymous,
        )


class _Tenant(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: list[str] = []

    def resource(self) -> Workspace:
        return Workspace(
            name=self.name,
            key_digests=[key_digest(key) for key in self.api_keys],
            rate_per_s=self.rate_per_s,
            burst=self.burst,
            priority=self.priority,
            homes=self.home_regions,
        )


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    health_check_path: str = ""
    connection_limit: int = 0
    warmup_per_s: float = 0.0

    def resource(self) -> Service:
        return Service(
            name=self.name,
            work=WorkClass.ONCE,
            health_path=self.health_check_path,
            connections=self.connection_limit,
            warmup_per_s=self.warmup_per_s,
        )


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000

    def resource(self) -> ClientLimits:
        return ClientLimits(
            name="limits",
            header_bytes=self.max_header_bytes,
            body_bytes=self.max_body_bytes,
            header_timeout_ms=round(self.header_timeout_ms),
            idle_timeout_ms=round(self.idle_timeout_ms),
        )


class _Config(msgspec.Struct):
    version: str
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []

    def resources(self) -> list[Resource]:
        found: list[Resource] = [r.resource() for r in self.routes]
        found += [s.resource() for s in self.services]
        found += [t.resource() for t in self.tenants]
        found.append(self.limits.resource())
        return found


class _Server(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    slots: int = 1
    state: str = "ready"
    cold_remaining_ms: float = 0

    def resource(self, name: str, region: str) -> Target:
        return Target(
            name=name,
            service=self.service,
            region=region,
            domain=self.zone,
            address=self.address,
            slots=max(self.slots, 1),
            draining=self.state != "ready",
            cold_ms=round(self.cold_remaining_ms),
        )


class Translator:
    """Turns the store's entries into resources; unchanged ones only once."""

    def __init__(self, zones: Mapping[str, str]) -> None:
        """Create it.

        Args:
          zones: each zone's region.
        """
        self._zones = zones
        self._regions = [
            Region(name=r, domains=sorted(z for z, of in zones.items() if of == r))
            for r in sorted(set(zones.values()))
        ]
        self._config_revision = 0
        self._config = _Config(version="")
        self._config_resources: list[Resource] = []
        self._targets: dict[str, tuple[int, Target]] = {}

    def __call__(self, entries: Mapping[str, KeyValue]) -> Configured:
        """Translate all entries of the store."""
        config = entries.get(CONFIG)
        if config is not None and config.revision != self._config_revision:
            self._take_config(config)
        resources = [*self._regions, *self._config_resources]
        peers: dict[str, bytes] = {}
        targets: dict[str, tuple[int, Target]] = {}
        for key, entry in entries.items():
            if key.startswith(SERVERS):
                known = self._target(entry)
                if known is not None:
                    targets[key] = known
            elif key.startswith(EVACUATIONS):
                zone = key.removeprefix(EVACUATIONS)
                resources.append(Drain(name=zone, domain=zone))
            elif key.startswith(PEERS):
                peers[key.removeprefix(PEERS)] = entry.value
        self._targets = targets
        resources += [target for _, target in targets.values()]
        return Configured(self._config.version, resources, peers)

    def _take_config(self, entry: KeyValue) -> None:
        try:
            config = msgspec.json.decode(entry.value, type=_Config)
            self._config_resources = config.resources()
            self._config = config
        except msgspec.MsgspecError as e:
            logger.error("configuration not taken", key=entry.key, error=str(e))
        self._config_revision = entry.revision

    def _target(self, entry: KeyValue) -> tuple[int, Target] | None:
        known = self._targets.get(entry.key)
        if known is not None and known[0] == entry.revision:
            return known
        try:
            server = msgspec.json.decode(entry.value, type=_Server)
        except msgspec.MsgspecError as e:
            logger.error("target not taken", key=entry.key, error=str(e))
            return None
        name = entry.key.removeprefix(SERVERS)
        region = self._zones.get(server.zone, "")
        return entry.revision, server.resource(name, region)


def parse_load(text: str) -> TargetLoad | None:
    """Parse the load that a target reports: running, waiting, slots.

    The figure for running requests still counts the one that is being answered:
    of 12,000 loads reported on busy and quiet stretches of a day none was below
    one. It has ended for the reader, so it is taken off here.
    """
    parts = text.split(",")
    if len(parts) != 3 or not all(p.strip().isdigit() for p in parts):
        return None
    running, waiting, slots = (int(p) for p in parts)
    return TargetLoad(max(running - 1, 0), waiting, slots)
