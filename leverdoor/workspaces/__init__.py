# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Workspaces: whose a request is, and how many requests one may have."""
