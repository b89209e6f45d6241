# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How the users' platform speaks: names, formats and calls, no decisions."""
