# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Global traffic steering for small operators.

On plain sites each entry VM runs an agent (control path) and a gate (data path); on the
users' platform it runs one entry process.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
