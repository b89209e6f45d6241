# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Keeps modules of the standard library that an entry does not use from being loaded.

Owns no state; changes the process's table of modules. Relies on the importers of these
modules, which support interpreters that are built without them.
"""

import sys

__all__ = ["UNUSED_MODULES", "block_unused_modules"]

UNUSED_MODULES = ("ssl", "_hashlib", "bz2", "lzma")
"""Modules that `asyncio`, `hashlib` and `shutil` import if they exist.

An entry uses no TLS and no such archives, and `hashlib` has digests of its own with the
same results as those of OpenSSL.
"""


def block_unused_modules() -> None:
    """Make imports of `UNUSED_MODULES` fail. Call before `asyncio` is imported.

    Modules that are already loaded stay.
    """
    for name in UNUSED_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
