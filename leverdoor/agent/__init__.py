# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The control path of a plain site: one agent on each entry VM."""
