# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""An emulator of sites: the entries' own decisions on a fake clock."""
