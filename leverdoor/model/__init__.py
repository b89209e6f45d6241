# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Resources that operators write, and computations on them. Performs no I/O."""
