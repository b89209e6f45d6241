# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Global traffic steering for small operators."""

__all__ = ["__version__"]

__version__ = "0.1.0"
