# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Membership of entries: liveness, roles, joining and registration in the store.

VMs with agents and gates use `leverdoor.membership` instead.
"""
