# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The configuration in force, compiled from the copy of the store.

`catalog_keeper` compiles the copy into a `catalog` at each change. It goes on for a
moment with `expired_registrations` after an `outage` of the store, and knows by
`confirmation` how long ago the store last answered any entry.
"""
