# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The data path of a plain site: one gate on each entry VM."""
