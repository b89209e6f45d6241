# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of resources: each rejection has the right error code and field."""

import json

import pytest
from returns.result import Success

from leverdoor.errors import Code, ConfigError
from leverdoor.model.resource_checks import validate
from leverdoor.model.resources import (
    Resource,
    parse_resource,
    parse_resources,
    resource_key,
    serialize_resource,
)
from leverdoor.standins.deployments import DEPLOYMENTS, build

BASE = [
    {"kind": "region", "name": "r", "domains": ["d"]},
    {"kind": "service", "name": "s", "work": "lookup"},
    {"kind": "tier", "name": "t", "reserve_percent": 60, "callers": ["x"]},
    {
        "kind": "target",
        "name": "a",
        "service": "s",
        "region": "r",
        "domain": "d",
        "address": "10.0.0.1:80",
        "slots": 2,
    },
    {
        "kind": "shiftcap",
        "name": "c",
        "service": "s",
        "region": "r",
        "units": 1,
        "window_ms": 1000,
    },
    {
        "kind": "route",
        "name": "r1",
        "host": "h.example",
        "prefix": "/x/",
        "work": "once",
        "services": {"s": 1},
        "homes": ["r"],
    },
    {
        "kind": "workspace",
        "name": "w1",
        "key_digests": ["0" * 64],
        "rate_per_s": 5,
        "burst": 5,
        "homes": ["r"],
    },
]
WORKSPACE = BASE[-1]


def base_resources() -> dict[str, Resource]:
    found = parse_resources(json.dumps(BASE))
    result = validate(found, {})
    assert isinstance(result, Success)
    return result.unwrap()


PARSE_ERRORS = [
    ("{", Code.MALFORMED, ""),
    ('{"kind": "nothing", "name": "x"}', Code.UNKNOWN_FIELD, "kind"),
    ('{"kind": "tier", "name": "x", "wieght": 1}', Code.UNKNOWN_FIELD, "wieght"),
    ('{"kind": "tier", "name": "Bad Name"}', Code.UNKNOWN_FIELD, "name"),
    ('{"kind": "tier", "name": "x", "weight": 0}', Code.UNKNOWN_FIELD, "weight"),
    ('{"kind": "tier", "name": "x", "weight": "3s"}', Code.UNKNOWN_FIELD, "weight"),
    (
        '{"kind": "shiftcap", "name": "c", "service": "s", "region": "r",'
        ' "units": 0, "window_ms": 1}',
        Code.UNKNOWN_FIELD,
        "units",
    ),
    ('{"kind": "region", "name": "x"}', Code.UNKNOWN_FIELD, "domains"),
    (
        '{"kind": "route", "name": "r", "host": "h", "prefix": "x/", "work": "once",'
        ' "services": {}}',
        Code.UNKNOWN_FIELD,
        "prefix",
    ),
    (
        '{"kind": "clientlimits", "name": "l", "header_timeout_ms": 0}',
        Code.UNKNOWN_FIELD,
        "header_timeout_ms",
    ),
]


@pytest.mark.parametrize(("text", "code", "field"), PARSE_ERRORS)
def test_parse_error_names_the_field(text: str, code: Code, field: str) -> None:
    with pytest.raises(ConfigError) as e:
        parse_resource(text)
    assert (e.value.code, e.value.field) == (code, field)


def route(**fields: object) -> dict[str, object]:
    return {**BASE[5], **fields}


def workspace(**fields: object) -> dict[str, object]:
    return {**WORKSPACE, **fields}


def with_changes(index: int, **fields: object) -> dict[str, object]:
    """Return a changed copy of the tier (2), target (3) or shift cap (4) of `BASE`."""
    return {**BASE[index], **fields}


INCONSISTENT = [
    (with_changes(3, service="none"), Code.DANGLING_REFERENCE, "service"),
    (with_changes(3, region="none"), Code.DANGLING_REFERENCE, "region"),
    (with_changes(3, domain="none"), Code.DANGLING_REFERENCE, "domain"),
    (with_changes(3, address="host:80"), Code.UNKNOWN_FIELD, "address"),
    (with_changes(3, address="10.0.0.1:0"), Code.UNKNOWN_FIELD, "address"),
    (with_changes(3, connections=1), Code.CONTRADICTION, "connections"),
    (with_changes(3, name="b"), Code.CONTRADICTION, "address"),
    (with_changes(4, name="c2"), Code.CONTRADICTION, "service"),
    (
        with_changes(2, name="t2", reserve_percent=41),
        Code.CONTRADICTION,
        "reserve_percent",
    ),
    (with_changes(2, name="t2", reserve_percent=1), Code.CONTRADICTION, "callers"),
    ({"kind": "drain", "name": "d"}, Code.CONTRADICTION, "region"),
    (
        {"kind": "drain", "name": "d", "target": "a", "vm": "v"},
        Code.CONTRADICTION,
        "region",
    ),
    (
        {"kind": "drain", "name": "d", "domain": "none"},
        Code.DANGLING_REFERENCE,
        "domain",
    ),
    (
        {
            "kind": "clientblocks",
            "name": "b",
            "networks": {"r": ["10.0.0.0/8", "10.0.0.1/8"]},
        },
        Code.UNKNOWN_FIELD,
        "networks.r[1]",
    ),
    (
        {
            "kind": "clientblocks",
            "name": "b",
            "networks": {"none": ["10.0.0.0/8"]},
        },
        Code.DANGLING_REFERENCE,
        "networks.none",
    ),
    (route(services={"none": 1}), Code.DANGLING_REFERENCE, "services.none"),
    (route(homes=["none"]), Code.DANGLING_REFERENCE, "homes"),
    (route(services={"s": 0}), Code.CONTRADICTION, "services"),
    (route(name="r2"), Code.CONTRADICTION, "prefix"),
    (workspace(homes=["none"]), Code.DANGLING_REFERENCE, "homes"),
    (workspace(name="w2"), Code.CONTRADICTION, "key_digests"),
]


@pytest.mark.parametrize(("resource", "code", "field"), INCONSISTENT)
def test_inconsistent_resource_is_rejected(
    resource: dict[str, object], code: Code, field: str
) -> None:
    result = validate([parse_resource(json.dumps(resource))], base_resources())
    problem = result.failure()
    assert (problem.code, problem.field) == (code, field)


@pytest.mark.parametrize("name", sorted(DEPLOYMENTS))
def test_sample_deployments_are_valid_and_round_trip(name: str) -> None:
    d = build(name)
    addresses = {t.name: f"10.0.0.{i + 1}:80" for i, t in enumerate(d.targets)}
    resources = d.resources + d.target_resources(addresses)
    assert isinstance(validate(resources, {}), Success)
    for r in resources:
        assert parse_resource(serialize_resource(r)) == r
    assert len({resource_key(r) for r in resources}) == len(resources)
