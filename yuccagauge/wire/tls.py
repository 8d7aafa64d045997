"""Mutual TLS between routers, by IP number, with reloaded certificates."""

from pathlib import Path
from typing import Any

from OpenSSL import SSL
from service_identity import VerificationError
from service_identity.pyopenssl import verify_ip_address
from twisted.internet.endpoints import wrapClientTLS
from twisted.internet.interfaces import (
    IOpenSSLClientConnectionCreator,
    IOpenSSLServerConnectionCreator,
)
from twisted.protocols.tls import TLSMemoryBIOFactory
from twisted.python.failure import Failure
from zope.interface import implementer

from yuccagauge.errors import SettingsError
from yuccagauge.settings.process import TlsSection
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.wire.errors import CertificateRefusedError

#: Time between two checks of the certificate files, in seconds.
RELOAD_SECONDS = 10

_VERIFY_MODE = SSL.VERIFY_PEER | SSL.VERIFY_FAIL_IF_NO_PEER_CERT

# Codes of X509_verify_cert that have a plain explanation.
_REASONS = {
    9: 'the certificate is not valid yet',
    10: 'the certificate has expired',
    18: 'the certificate is signed by an unknown authority',
    19: 'the certificate is signed by an unknown authority',
    20: 'the certificate is signed by an unknown authority',
    21: 'the certificate is signed by an unknown authority',
    7: 'the signature of the certificate is wrong',
}

# Alerts by which the other side says what it did not accept.
_ALERTS = {
    'alert certificate expired': 'the peer says that ours has expired',
    'alert unknown ca': 'the peer does not know the authority of ours',
    'alert bad certificate': 'the peer does not accept ours',
    'alert certificate unknown': 'the peer does not accept ours',
    'certificate required': 'the peer asks for a certificate',
    'wrong version number': 'the peer does not use TLS',
}


class PeerTls:
    """The certificates of this router and of the authority.

    Parameters
    ----------
    section
        File names of certificate, key and authority.

    Raises
    ------
    SettingsError
        If a file cannot be read, or key and certificate do not match.
    """

    def __init__(self, section: TlsSection) -> None:
        """Read the files once."""
        self._files = {
            'peer_certificate': section.peer_certificate,
            'peer_key': section.peer_key,
            'peer_authority': section.peer_authority,
        }
        self._contents: tuple[bytes, ...] = ()
        self._context: SSL.Context = self._read()

    @property
    def context(self) -> SSL.Context:
        """The context of the files that were read last."""
        return self._context

    def wrap_client(self, endpoint: Any, host: str, reactor: Any) -> Any:
        """Return an endpoint that connects securely to an IP number."""
        return wrapClientTLS(ClientCreator(self, host), endpoint, reactor)

    def wrap_server(self, factory: Any, reactor: Any) -> Any:
        """Return a factory that accepts secure connections only."""
        secured = TLSMemoryBIOFactory(
            ServerCreator(self),
            False,
            factory,
            clock=reactor,
        )
        secured.noisy = False
        return secured

    def describe_refusal(self, failure: Failure) -> str:
        """Return one sentence if a TLS handshake failed, else nothing."""
        error = failure.value
        if isinstance(error, CertificateRefusedError):
            return str(error)
        if not isinstance(error, SSL.Error):
            return ''
        text = str(error).lower()
        for alert, sentence in _ALERTS.items():
            if alert in text:
                return sentence
        return 'the TLS handshake failed'

    def reload(self) -> bool:
        """Read the files again and return whether they changed.

        A mistake in the new files keeps the old certificates in use.
        """
        before = self._contents
        try:
            context = self._read()
        except SettingsError as error:
            log_state_change('certificates_unusable', reason=str(error))
            return False
        if self._contents == before:
            return False
        self._context = context
        log_state_change('certificates_reloaded')
        return True

    def _read(self) -> SSL.Context:
        contents: list[bytes] = []
        for key, path in self._files.items():
            try:
                contents.append(Path(path).read_bytes())
            except OSError as error:
                raise SettingsError(
                    'tls',
                    'tls',
                    key,
                    path,
                    f'a readable PEM file ({error.strerror})',
                ) from None
        context = self._build_context()
        self._contents = tuple(contents)
        return context

    def _build_context(self) -> SSL.Context:
        context = SSL.Context(SSL.TLS_METHOD)
        context.set_min_proto_version(SSL.TLS1_3_VERSION)
        # Both ends check the certificate on each connection; resuming a
        # session would skip that.
        context.set_session_cache_mode(SSL.SESS_CACHE_OFF)
        context.set_options(SSL.OP_NO_TICKET)
        try:
            context.use_certificate_chain_file(self._files['peer_certificate'])
            context.use_privatekey_file(self._files['peer_key'])
            context.load_verify_locations(self._files['peer_authority'])
            context.check_privatekey()
        except SSL.Error:
            raise SettingsError(
                'tls',
                'tls',
                'peer_certificate',
                self._files['peer_certificate'],
                'PEM files of a certificate, its key and an authority',
            ) from None
        context.set_verify(_VERIFY_MODE)
        return context


def peer_tls(section: TlsSection) -> PeerTls | None:
    """Return the certificates, or ``None`` if no peer file is named.

    Settings that name only some of the files are a mistake, and must not
    lead to plain connections.

    Raises
    ------
    SettingsError
        If a file is missing or cannot be used.
    """
    named = (section.peer_certificate, section.peer_key, section.peer_authority)
    return PeerTls(section) if any(named) else None


class _Creator:
    """What both sides share: the check of the IP number."""

    def __init__(self, tls: PeerTls) -> None:
        self._tls = tls

    def _connection(self, protocol: Any, host: str) -> SSL.Connection:
        connection = SSL.Connection(self._tls.context, None)
        check = _PeerCheck(protocol, host)
        connection.set_verify(_VERIFY_MODE, check.note_chain)
        connection.set_info_callback(check.note_handshake)
        return connection


@implementer(IOpenSSLServerConnectionCreator)
class ServerCreator(_Creator):
    """Verify that a client's certificate names its IP number."""

    def serverConnectionForTLS(self, protocol: Any) -> SSL.Connection:  # noqa: N802
        """Return the connection of one accepted client."""
        connection = self._connection(protocol, '')
        connection.set_accept_state()
        return connection


@implementer(IOpenSSLClientConnectionCreator)
class ClientCreator(_Creator):
    """Verify that a server's certificate names the IP number asked for."""

    def __init__(self, tls: PeerTls, host: str) -> None:
        """Keep the IP number."""
        super().__init__(tls)
        self._host = host

    def clientConnectionForTLS(self, protocol: Any) -> SSL.Connection:  # noqa: N802
        """Return the connection to the server."""
        connection = self._connection(protocol, self._host)
        connection.set_connect_state()
        return connection


class _PeerCheck:
    """The checks of one handshake."""

    def __init__(self, protocol: Any, host: str) -> None:
        self._protocol = protocol
        self._host = host
        self._is_refused = False

    def note_chain(
        self,
        connection: SSL.Connection,
        certificate: Any,
        code: int,
        depth: int,
        accepted: int,
    ) -> bool:
        """Give the reason when OpenSSL does not accept the chain."""
        if not accepted:
            reason = _REASONS.get(code, f'the certificate failed check {code}')
            if self._host:
                self._refuse(reason)
            else:
                # A server lets OpenSSL end the handshake, so that the
                # client gets the alert with the reason.
                self._log(reason)
        return bool(accepted)

    def note_handshake(
        self,
        connection: SSL.Connection,
        where: int,
        _result: int,
    ) -> None:
        """Check the IP number when the handshake is done.

        The library ignores exceptions from this callback, so that every
        one of them has to refuse the connection here.
        """
        if not where & SSL.SSL_CB_HANDSHAKE_DONE:
            return
        # A server learns the client's IP number from the transport, which
        # is set after the TLS connection was made.
        host = self._host
        try:
            host = host or self._protocol.transport.getPeer().host
            verify_ip_address(connection, host)
        except VerificationError:
            self._refuse(f'the certificate does not name {host}')
        except Exception as error:  # noqa: BLE001
            self._refuse(f'the certificate check failed: {error}')

    def _refuse(self, reason: str) -> None:
        if self._is_refused:
            return
        self._is_refused = True
        self._log(reason)
        self._protocol.failVerification(
            Failure(CertificateRefusedError(reason)),
        )

    def _log(self, reason: str) -> None:
        host = self._host or self._protocol.transport.getPeer().host
        log_state_change('certificate_refused', peer=host, reason=reason)
