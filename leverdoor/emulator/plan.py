# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Experiments: a site, its load, its troubles and what is compared, from TOML.

Relies on the placement's `Tuning`, whose fields an experiment may set. Owns no state:
all values are read once and never change.
"""

from enum import StrEnum
from pathlib import Path
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta

from leverdoor.entry.placement.tuning import PRODUCTION, Tuning
from leverdoor.errors import Code, ConfigError
from leverdoor.model.resources import WorkClass

__all__ = [
    "Experiment",
    "LoadSpec",
    "ServiceSpec",
    "SiteSpec",
    "TroubleSpec",
    "TroubleKind",
    "parse_experiment",
    "read_experiment",
]

Rate: TypeAlias = Annotated[float, Meta(gt=0.0, le=1_000_000.0)]
Count: TypeAlias = Annotated[int, Meta(ge=1, le=100_000)]
Seconds: TypeAlias = Annotated[float, Meta(ge=0.0, le=86_400.0)]
Share: TypeAlias = Annotated[float, Meta(ge=0.0, le=1.0)]


class _Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What all parts share: unknown fields are refused."""


class SiteSpec(_Part, frozen=True):
    """Regions, entries and how far apart they are."""

    entries: dict[str, Count]
    """Entries of each region."""
    domain_ms: Annotated[float, Meta(ge=0.0)] = 1.0
    """One way between failure domains of a region, in ms."""
    region_ms: Annotated[float, Meta(ge=0.0)] = 20.0
    """One way between regions, in ms."""
    domains: Count = 2
    """Failure domains of each region."""
    heartbeat_loss: Share = 0.0
    """Part of the heartbeats that are lost."""
    max_shift: Share = 0.15
    """Largest share of a region's requests that may change region in 2 s."""
    repeat_ratio: Share = 0.2
    """Retries that all entries together may make, as a share of requests."""


class ServiceSpec(_Part, frozen=True):
    """One service and its targets."""

    name: str
    targets: dict[str, Annotated[int, Meta(ge=0, le=100_000)]]
    """Targets of each region."""
    slots: Count = 4
    queue: Annotated[int, Meta(ge=0, le=100_000)] = 12
    keeps: Count = 50
    """Keys that a target keeps warm; the one not used for longest goes first."""
    warm_x: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.3
    """Time of a warm run over that of a cold one."""
    warmup_per_s: Annotated[float, Meta(ge=0.0)] = 10.0
    """Requests a second that a target bears in its warm-up."""


class LoadSpec(_Part, frozen=True):
    """Requests of one route."""

    name: str
    service: str
    rate: Rate
    """Requests a second of each region, on average."""
    work_ms: Rate
    """Mean time of a cold run, in ms."""
    target_latency_ms: Count
    deadline_ms: Count
    keys: Count = 100
    """Keys of each region."""
    work: WorkClass = WorkClass.LOOKUP
    priority: Annotated[int, Meta(ge=0, le=1_000)] = 0
    attempts: Count = 2
    timeout_ms: Annotated[int, Meta(ge=0)] = 0
    spread: Annotated[float, Meta(ge=0.0, le=2.0)] = 0.15
    """Standard deviation of a run's logarithm."""
    worth: Rate = 1.0
    late_worth: Share = 0.2
    """Part of the worth that a late answer earns."""
    client_retries: Annotated[int, Meta(ge=0, le=10)] = 1
    """How often a client tries again after a refusal."""
    swing: Share = 0.5
    """Height of the wave of the rate; regions peak one after the other."""
    period_s: Rate = 36.0
    calls: list[str] = []
    """Services that a run calls, once each, with a share of the time."""


class TroubleKind(StrEnum):
    """What can happen."""

    SHED = "shed"
    """Targets turn away a share of the requests, whatever their load."""
    SLOW = "slow"
    """Targets take x times as long."""
    CRASH = "crash"
    """Targets are down, and come back cold."""
    LOSE = "lose"
    """Targets run requests and lose a share of the answers."""
    REST = "rest"
    """Targets turn all requests away and ask for x seconds of rest."""
    LEAVE = "leave"
    """Targets say in their answers that they leave, to the end of the run."""
    BURST = "burst"
    """Clients send x times as much."""
    RESTART = "restart"
    """Entries end and start again with nothing in memory."""


class TroubleSpec(_Part, frozen=True):
    """One trouble."""

    kind: TroubleKind
    at: Seconds
    for_s: Seconds = 5.0
    service: str = ""
    """Whose targets it happens to; all if empty."""
    share: Share = 0.2
    """Part of the targets or entries that it happens to."""
    x: Annotated[float, Meta(ge=0.0)] = 0.5
    """How strong: a share of requests, or a factor, by kind."""


class Experiment(_Part, frozen=True):
    """One experiment."""

    name: str
    site: SiteSpec
    service: list[ServiceSpec]
    load: list[LoadSpec]
    seconds: Annotated[float, Meta(gt=0.0, le=3_600.0)] = 40.0
    trouble: list[TroubleSpec] = []
    tuning: Tuning = PRODUCTION
    shares_warmth: bool = True
    """Whether heartbeats say which keys are warm."""
    shares_load: bool = True
    """Whether heartbeats count requests in flight."""
    reports_load: bool = True
    """Whether targets report their load with answers."""
    knows_all: bool = False
    """Whether entries know loads and caches exactly and at once: a bound."""


def read_experiment(path: Path) -> Experiment:
    """Read an experiment's file.

    Raises:
      ConfigError: it can't be read, or a field is wrong; the text names both.
    """
    try:
        return parse_experiment(path.read_bytes())
    except OSError as e:
        raise ConfigError(Code.NOT_FOUND, f"{path}: {e.strerror}") from None
    except ConfigError as e:
        raise ConfigError(e.code, f"{path}: {e.detail}", field=e.field) from None


def parse_experiment(data: bytes) -> Experiment:
    """Parse and check an experiment.

    Raises:
      ConfigError: MALFORMED, UNKNOWN_FIELD, DANGLING_REFERENCE or CONTRADICTION.
    """
    try:
        found = msgspec.toml.decode(data, type=Experiment)
    except msgspec.ValidationError as e:
        raise ConfigError(Code.UNKNOWN_FIELD, str(e)) from None
    except (msgspec.DecodeError, ValueError) as e:
        raise ConfigError(Code.MALFORMED, str(e)) from None
    _check(found)
    return found


def _check(experiment: Experiment) -> None:
    """Check parts against one another."""
    services = {s.name for s in experiment.service}
    if len(services) != len(experiment.service):
        raise ConfigError(Code.CONTRADICTION, "two services have one name")
    regions = set(experiment.site.entries)
    for service in experiment.service:
        unknown = set(service.targets) - regions
        if unknown:
            text = f"service {service.name}: no region {min(unknown)}"
            raise ConfigError(Code.DANGLING_REFERENCE, text, field="targets")
        if not any(service.targets.values()):
            text = f"service {service.name} has no target"
            raise ConfigError(Code.CONTRADICTION, text, field="targets")
    for load in experiment.load:
        for name in (load.service, *load.calls):
            if name not in services:
                text = f"load {load.name}: no service {name}"
                raise ConfigError(Code.DANGLING_REFERENCE, text, field="service")
    for trouble in experiment.trouble:
        if trouble.service and trouble.service not in services:
            text = f"trouble at {trouble.at}: no service {trouble.service}"
            raise ConfigError(Code.DANGLING_REFERENCE, text, field="service")
