# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Which entries there are, which roles they have, and how one joins and registers."""
