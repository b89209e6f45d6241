# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Spares a process that uses no TLS the reading of the VM's certificates."""

import os

__all__ = ["disable_certificate_loading"]

CERTIFICATE_VARIABLES = ("SSL_CERT_FILE", "SSL_CERT_DIR")
"""Environment variables by which OpenSSL finds the certificates it trusts."""


def disable_certificate_loading() -> None:
    """Let OpenSSL find no certificates; call it before aiohttp is imported.

    aiohttp reads all of them as it is imported: 0.14 of 0.55 s of processor time at
    each start of an entry (least of six), during which a VM of 0.43 cores does not
    serve. Places that the environment names are left as they are.
    """
    for name in CERTIFICATE_VARIABLES:
        os.environ.setdefault(name, os.devnull)
