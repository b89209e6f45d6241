# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The platform's store, what follows it, and the configuration in it."""
