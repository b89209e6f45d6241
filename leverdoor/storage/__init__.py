# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The key-value store: interface, clients, replication and stored documents."""
