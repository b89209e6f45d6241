# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The command line's queries."""
