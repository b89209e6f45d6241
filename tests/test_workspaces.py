# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Identification of workspaces, home regions, and the workspace header of targets."""

import pytest

from entry_bench import PLACES, targets, until_in_force
from leverdoor.errors import Code, Refusal
from leverdoor.model.resources import Workspace
from leverdoor.standins.entry_site import SAMPLE_ROUTES, EntrySite
from leverdoor.workspaces.directory import WorkspaceDirectory
from leverdoor.workspaces.keys import key_digest

KEY = "bbkf83fgfwrz56aw63is"
TENANTS: list[dict[str, object]] = [
    {"name": "ward", "api-keys": [KEY, "old-key"], "home-regions": ["a"]},
    {"name": "police", "api-keys": ["police-key"]},
]
ROUTES = [
    *SAMPLE_ROUTES,
    {**SAMPLE_ROUTES[0], "name": "open", "path-prefix": "/open/"}
    | {"allow-anonymous": True},
    {**SAMPLE_ROUTES[0], "name": "b-only", "path-prefix": "/b/", "home-regions": ["b"]},
]


def test_workspace_is_found_by_any_of_its_keys() -> None:
    ward = Workspace(name="ward", key_digests=[key_digest(KEY), key_digest("old")])
    index = WorkspaceDirectory([ward])
    assert index.identify(KEY, anonymous=False) is ward
    assert index.identify("old", anonymous=True) is ward
    assert index.identify("", anonymous=True) is None
    assert index.identify("wrong", anonymous=True) is None


@pytest.mark.parametrize(
    ("key", "code"),
    [("", Code.WORKSPACE_KEY_MISSING), ("wrong", Code.WORKSPACE_KEY_UNKNOWN)],
)
def test_missing_or_unknown_key_is_refused_without_revealing_it(
    key: str, code: Code
) -> None:
    index = WorkspaceDirectory([Workspace(name="ward", key_digests=[key_digest(KEY)])])
    with pytest.raises(Refusal) as refused:
        index.identify(key, anonymous=False)
    assert refused.value.code is code
    assert not key or key not in str(refused.value)


def test_no_key_is_required_without_workspaces() -> None:
    assert WorkspaceDirectory().identify("any", anonymous=False) is None


async def test_workspaces_through_running_entries() -> None:
    """No key reaches a target or a log, and only the entry sets the workspace name."""
    site = EntrySite(PLACES, targets())
    await site.start(ROUTES)
    try:
        site.configure(ROUTES, tenants=TENANTS)
        await until_in_force(site, "/look/x", 401)
        entry = site.entries["n3"]

        async def status(path: str, key: str = "", **more: str) -> int:
            sent = {"X-Credential": key, **more} if key else more
            return (await site.request(entry, "GET", path, headers=sent)).status

        assert await status("/look/1", KEY, **{"X-Tenant": "police"}) == 200
        assert await status("/look/2", "police-key") == 200
        assert await status("/look/3", "wrong-key") == 401
        assert await status("/look/4", "old-key") == 200
        assert await status("/open/1", **{"X-Tenant": "police"}) == 200
        assert await status("/b/1", KEY) == 503
        runs = {
            r.path: (t, r)
            for t in site.targets.values()
            for r in t.runs
            if r.path != "/look/x"
        }
        assert {p: r.workspace for p, (_, r) in runs.items()} == {
            "/look/1": "ward",
            "/look/2": "police",
            "/look/4": "ward",
            "/open/1": "",
        }
        assert not any(r.keyed for _, r in runs.values())
        assert runs["/look/1"][0].zone == "a1"
        site.configure(ROUTES, tenants=[{**TENANTS[0], "api-keys": [KEY]}])
        for _ in range(500):
            if await status("/look/5", "old-key") == 401:
                break
        assert await status("/look/6", KEY) == 200
        for process in site.entries.values():
            log = process.log.read_text()
            assert not any(k in log for k in (KEY, "old-key", "police-key"))
        refused = [e for e in entry.events() if e["event"] == "refused"]
        assert Code.NO_COMMON_HOME.name in {str(e["name"]) for e in refused}
    finally:
        await site.stop()
