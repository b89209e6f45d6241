# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The configuration in force, compiled from the local copy of the store.

`catalog_manager` compiles the copy into a `catalog` at each change. After an `outage`
of the store it retains targets with `expired_registrations` for a short time.
`confirmation` tracks the age of the newest answer of the store to any entry.
"""
