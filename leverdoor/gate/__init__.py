# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Data path of a plain site, with one gate process on each entry VM."""
