"""Make the TLS contexts for connections that the settings protect."""

import ssl

from .settings import TlsSettings


def server_context(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the context for accepted sessions; both sides show certificates."""
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
