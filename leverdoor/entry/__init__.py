# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The entry daemon: one process that names entries, routes and forwards."""
