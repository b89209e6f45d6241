# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The key-value store: its interface and clients, followers, and what is stored."""
