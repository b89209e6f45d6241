# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""An entry loads no modules that it does not use."""

import subprocess
import sys

import pytest

from leverdoor.entry.unused_modules import UNUSED_MODULES

RUN_ENTRY = """
import runpy, sys
try:
    runpy.run_module("leverdoor.platform", run_name="__main__")
except SystemExit as e:
    print(e.code, *(name for name, module in sys.modules.items() if module))
"""
"""Runs the program without a settings file: it ends once its modules are loaded."""
DIGESTS = """
import hashlib
print(hashlib.sha256(b"key").hexdigest(), hashlib.blake2b(b"body").hexdigest())
"""

HEAVY = {
    "_hashlib",
    "_bz2",
    "_lzma",
    "_ssl",
    "aiohttp",
    "click",
    "email",
    "hdrh",
    "http.client",
    "http.cookies",
    "http.server",
    "multidict",
    "prometheus_client",
    "ssl",
    "unittest",
    "urllib.request",
    "wsgiref",
    "xml",
    "yarl",
    "zmq",
    *(
        f"leverdoor.{folder}"
        for folder in (
            "agent",
            "analysis",
            "client",
            "commands",
            "emulator",
            "gate",
            "membership.ownership",
            "membership.peers",
            "metrics",
            "queries",
            "responses",
            "sessions",
            "standins",
        )
    ),
}
"""Modules that an entry does not use, each with several hundred kB of its own or in the
modules that it imports."""


def run_python(code: str) -> list[str]:
    """Run code in a new interpreter and return the words that it prints."""
    done = subprocess.run(
        [sys.executable, "-c", code],
        env={"LEVERDOOR_SETTINGS": "", "PYTHONPATH": ":".join(sys.path)},
        capture_output=True,
        check=True,
        text=True,
    )
    return done.stdout.split()


def test_entry_loads_no_heavy_modules() -> None:
    status, *loaded = run_python(RUN_ENTRY)
    assert status != "0"
    assert "leverdoor.entry.daemon" in loaded
    assert not HEAVY.intersection(loaded)


@pytest.mark.parametrize("name", UNUSED_MODULES)
def test_blocked_module_is_not_loaded(name: str) -> None:
    _, *loaded = run_python(RUN_ENTRY)
    assert name not in loaded


def test_digests_are_the_same_without_blocked_modules() -> None:
    """Keys are stored as digests that other programs compute."""
    block = (
        "from leverdoor.entry.unused_modules import block_unused_modules\n"
        "block_unused_modules()"
    )
    assert run_python(block + DIGESTS) == run_python(DIGESTS)
