# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""An entry's start loads no CA certificates."""

import os
import ssl

import pytest

from leverdoor.entry.certificates import (
    CERTIFICATE_VARIABLES,
    disable_certificate_loading,
)


def unset(monkeypatch: pytest.MonkeyPatch, name: str) -> None:
    """Unset a variable; monkeypatch restores it even if the test sets it again."""
    monkeypatch.setenv(name, "")
    monkeypatch.delenv(name)


def test_default_context_loads_no_certificates(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in CERTIFICATE_VARIABLES:
        unset(monkeypatch, name)
    disable_certificate_loading()
    assert ssl.create_default_context().cert_store_stats()["x509_ca"] == 0


def test_preset_certificate_variables_are_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("SSL_CERT_FILE", "/etc/own.pem")
    unset(monkeypatch, "SSL_CERT_DIR")
    disable_certificate_loading()
    assert os.environ["SSL_CERT_FILE"] == "/etc/own.pem"
