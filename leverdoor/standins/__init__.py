# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Stand-ins for the platform and for targets, for tests and trials."""
