# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Limits of targets that hold over all entries: who decides, and how it is asked."""
