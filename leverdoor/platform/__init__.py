# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Adapter to the platform on which entries run: names, formats and calls.

`program` runs an entry, `settings` reads its settings file, `wire_format` defines
headers and paths, `documents`, `formats` and `registrations` decode the contents of the
metadata store, and `store` calls it. It makes no steering decisions. Only this package
uses the platform's terms: zone for failure domain, tenant for workspace, server for
target, credential for workspace key.
"""
