# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Gossip membership of VMs with agents and gates, and ownership of limited resources.

Entries have a membership of their own in `leverdoor.entry.membership`.
"""
