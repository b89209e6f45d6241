# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Resources that operators write, and what is computed from them; no I/O."""
