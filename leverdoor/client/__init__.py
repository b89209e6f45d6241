# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Clients of leverdoor: callers, operators, load."""
