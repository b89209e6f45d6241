# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Prevents the loading of the VM's CA certificates in a process that uses no TLS.

Owns no state; sets environment variables of the process. Relies on OpenSSL, which reads
its default certificate locations from them.
"""

import os

__all__ = ["disable_certificate_loading"]

CERTIFICATE_VARIABLES = ("SSL_CERT_FILE", "SSL_CERT_DIR")
"""Environment variables that name OpenSSL's trusted certificates."""


def disable_certificate_loading() -> None:
    """Point OpenSSL at an empty set of certificates. Call before other imports.

    HTTP libraries load all trusted certificates on import, which takes 0.14 s of
    processor time. A VM with 0.43 cores does not serve requests meanwhile. Variables
    that are already set keep their values.
    """
    for name in CERTIFICATE_VARIABLES:
        os.environ.setdefault(name, os.devnull)
