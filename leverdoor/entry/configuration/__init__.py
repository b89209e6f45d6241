# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The configuration in force, compiled from the store's state."""
