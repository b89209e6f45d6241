# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The control plane of a plain site, with one agent on each entry VM.

A plain site does not run on the users' platform and uses etcd as its store.
"""
