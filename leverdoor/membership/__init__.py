# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Membership of agents and gates by gossip, and the ownership of limited resources."""
