# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Enforcement of target limits across all entries: limiters and grant requests."""
