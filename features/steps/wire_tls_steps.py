"""Steps for TLS between routers."""

import datetime
import tempfile
from pathlib import Path

import trustme
from behave import given, then, when
from behave.runner import Context

from yuccagauge.errors import SettingsError
from yuccagauge.settings.process import TlsSection
from yuccagauge.wire.tls import PeerTls, peer_tls


def _make_certificate(
    folder: Path,
    authority: trustme.CA,
    kind: str,
) -> TlsSection:
    expires = None
    host = '127.0.0.1'
    if kind == 'expired':
        now = datetime.datetime.now(datetime.UTC)
        expires = now - datetime.timedelta(days=1)
    if kind == 'wrong host':
        host = '10.9.9.9'
    signer = trustme.CA() if kind == 'wrong CA' else authority
    certificate = signer.issue_cert(host, not_after=expires)
    folder.mkdir(exist_ok=True)
    chain = b''.join(part.bytes() for part in certificate.cert_chain_pems)
    contents = {
        'certificate.pem': chain,
        'key.pem': certificate.private_key_pem.bytes(),
        'authority.pem': authority.cert_pem.bytes(),
    }
    for name, content in contents.items():
        (folder / name).write_bytes(content)
    return TlsSection(
        peer_certificate=str(folder / 'certificate.pem'),
        peer_key=str(folder / 'key.pem'),
        peer_authority=str(folder / 'authority.pem'),
    )


@given('wire certificates where the {side}\'s is "{kind}"')
def given_certificates(context: Context, side: str, kind: str) -> None:
    """Make an authority and one certificate for each side."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.authority = trustme.CA()
    kinds = {'server': 'good', 'client': 'good', side: kind}
    context.tls = {
        name: PeerTls(
            _make_certificate(context.folder / name, context.authority, form),
        )
        for name, form in kinds.items()
    }


@then('wire settings with only a certificate are refused')
def then_partial_settings(context: Context) -> None:
    """A forgotten key must not silently turn TLS off."""
    try:
        peer_tls(TlsSection(peer_certificate=__file__))
    except SettingsError as error:
        assert error.key == 'peer_key'
        return
    raise AssertionError('the settings were accepted')


@then('wire settings without any file mean plain connections')
def then_no_settings(context: Context) -> None:
    """TLS between routers is optional."""
    assert peer_tls(TlsSection()) is None


@when("the wire server's certificate files are replaced by good ones")
def when_replaced(context: Context) -> None:
    """Write new files and let the server read them."""
    _make_certificate(context.folder / 'server', context.authority, 'good')
    assert context.tls['server'].reload()


@when("the wire server's certificate files are damaged")
def when_damaged(context: Context) -> None:
    """Cut a file, as a copy in progress does."""
    path = context.folder / 'server' / 'certificate.pem'
    path.write_bytes(path.read_bytes()[:100])
    assert not context.tls['server'].reload()
