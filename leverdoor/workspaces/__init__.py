# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Workspaces: identification by key, and quotas of requests."""
