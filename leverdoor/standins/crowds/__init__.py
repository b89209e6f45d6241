# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Clients that exceed limits, stall or do not read, and what a process bears of them.

`crowd` describes them, `client` plays one crowd as a process of its own, and `play`
plays it against a process of the system beside ordinary callers.
"""
