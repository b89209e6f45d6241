# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Requests that end the targets that run them: how they are known and held back."""
