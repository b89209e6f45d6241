# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The entry: one proxy process per VM that routes and forwards client requests.

It also serves the look-ups by which clients find entries. `daemon` runs the process.
`data_plane` assembles the request path (`requests/`, `placement/`). `control_plane`
assembles store following and membership (`membership/`, `exchange/`). `configuration/`
compiles the catalogue in force. `admin` serves the internal HTTP endpoints, `events`
and `metrics` provide observability, and `wire` defines the platform's interface.
"""
