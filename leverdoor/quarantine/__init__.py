# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Detection and quarantine of requests that crash the targets that run them."""
