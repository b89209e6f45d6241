# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Admission of requests that find no room at targets, and their order of return."""
