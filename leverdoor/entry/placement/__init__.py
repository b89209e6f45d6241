# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Selects the target of each request, or rejects it; policy.py is the entry point."""
