# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The request path of an entry, from the client's connection to the response.

Modules in the order in which a request passes them:

- `handler`: the steps of one request;
- `routing` with `deadlines`: route, workspace and deadline;
- `bodies`: reading of request bodies;
- `forwarding` with `retries`: placement, attempts and retries;
- `outgoing_request`: the request that is sent to a target;
- `connection_pool` with `idle_timeouts`: persistent connections to targets;
- `connection` with `replies` and `tcp_keepalive`: one HTTP exchange with a target;
- `target_reports`: load, limits and state that targets report in replies;
- `outcomes`: feedback of attempts to placement;
- `responses` with `retry_after`: the response to the client.
"""
