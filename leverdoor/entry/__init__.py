# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The entry: one process a VM that names entries to clients, routes and forwards.

`daemon` is the process. `data_plane` connects what serves requests (`requests/`,
`placement/`), `control_plane` what follows the store and other entries (`membership/`);
`configuration/` compiles what is in force. `admin` answers all that is not a client's
request, `events` and `metrics` show what happens, `wire` names the surroundings.
"""
