# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The path of a request: from a client's connection to a target and back."""
