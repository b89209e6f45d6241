# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Limits that targets set on the request rate of all entries together."""
