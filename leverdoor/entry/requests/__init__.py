# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One request at an entry, from the client's connection to the target's answer.

In the order of a request: `client_connection` (limits on clients), `handler` (the
steps), `intake` with `deadlines` (route, workspace, deadline), `bodies`, `forwarding`
(place, send, retry) with `retries` (the rules), `outgoing` (what is sent),
`connections` with `idle_timeouts` (kept for the next request), `connection` with
`replies` and `dead_peers` (one exchange with a target), `outcomes` (what placement
learns), `responses` with `retry_after` (what the client gets).
"""
