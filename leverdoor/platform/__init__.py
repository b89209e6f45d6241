# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The adapter to the users' platform: its names, formats and calls, no decisions.

`program` runs an entry, `settings` reads its file, `names` has headers and paths,
`documents` and `formats` the contents of the store, `store` its calls. The platform's
words stay in this folder: zone for failure domain, tenant for workspace, server for
target, credential for workspace key.
"""
