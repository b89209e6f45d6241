# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The configuration in force, compiled from the local copy of the store.

`catalog_manager` compiles the copy into a `catalog` at each change. Targets whose
registrations expire because of an `outage` of the store are retained for a short time
(`expired_registrations`). `left_out` reports registrations that the catalog omits.
`confirmation` tracks the age of the newest answer of the store to any entry.
"""
