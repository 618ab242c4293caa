"""TLS contexts and checks of the TLS files in the settings."""

import ssl
from pathlib import Path
from typing import Any

from .exceptions import Finding
from .settings import TlsSettings


def server_context(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the context for accepted sessions; clients must present a certificate."""
    if settings is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=str(settings.authority)
    )
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(settings.certificate, settings.key)
    return context


def client_context(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the context for sessions that this VM opens."""
    if settings is None:
        return None
    context = ssl.create_default_context(cafile=str(settings.authority))
    context.load_cert_chain(settings.certificate, settings.key)
    return context


def tls_findings(settings: TlsSettings | None) -> tuple[Finding, ...]:
    """Return a finding for each TLS file that cannot be loaded."""
    if settings is None:
        return ()
    findings: list[Finding] = []
    context = ssl.create_default_context()
    try:
        context.load_verify_locations(str(settings.authority))
    except (OSError, ssl.SSLError) as error:
        findings.append(tls_finding("authority", settings.authority, error))
    try:
        context.load_cert_chain(settings.certificate, settings.key)
    except (OSError, ssl.SSLError) as error:
        findings.append(tls_finding("certificate", settings.certificate, error))
    return tuple(findings)


def tls_finding(name: str, path: Path, error: Exception) -> Finding:
    """Return the finding for one file."""
    reason = getattr(error, "strerror", "") or type(error).__name__
    return Finding("", f"tls.{name}", "tls", f"{path} cannot be loaded: {reason}")


def certificate_names(transport: Any) -> frozenset[str]:
    """Return the DNS names in the peer's certificate."""
    certificate = transport.get_extra_info("peercert") or {}
    alternatives = certificate.get("subjectAltName", ())
    return frozenset(name for kind, name in alternatives if kind == "DNS")
