"""Who calls: bearer credentials by their SHA-256."""

import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass

from yuccagauge.gateway.refusals import reject
from yuccagauge.settings.document import ServiceDocument

#: Code of the refusal of a credential that no document has.
CREDENTIAL_UNKNOWN = 'credential_unknown'

_SCHEME = 'bearer '

#: Hexadecimal digits of a digest by which candidates are looked up.
_INDEX_DIGITS = 8


@dataclass(frozen=True, slots=True)
class _Holder:
    digest: str
    service: str
    customer: str


class Authenticator:
    """Finds the customer of a credential in the documents in force.

    Candidates are found by the first digits of the credential's SHA-256 and
    compared whole in constant time. The time of the look-up tells at most
    digits of a digest, from which no credential follows.
    """

    def __init__(self) -> None:
        """Start without documents."""
        self._services: dict[str, tuple[_Holder, ...]] = {}
        self._index: dict[str, list[_Holder]] = {}

    def configure(self, service: str, document: ServiceDocument) -> None:
        """Take the customers of a document that came into force."""
        self._services[service] = tuple(
            _Holder(section.credential_sha256, service, customer)
            for customer, section in document.customers.items()
        )
        self._index = {}
        for holders in self._services.values():
            for holder in holders:
                digits = holder.digest[:_INDEX_DIGITS]
                self._index.setdefault(digits, []).append(holder)

    def customers(self, authorization: str | None) -> Mapping[str, str]:
        """Return the customer's name in each service that knows it.

        Raises
        ------
        RefusedError
            If there is no credential or no service knows it.
        """
        if not authorization or not authorization.lower().startswith(_SCHEME):
            raise reject(
                401,
                'credential_missing',
                'the header Authorization has to carry a bearer credential',
            )
        credential = authorization[len(_SCHEME) :].strip()
        digest = hashlib.sha256(credential.encode()).hexdigest()
        found = {
            holder.service: holder.customer
            for holder in self._index.get(digest[:_INDEX_DIGITS], ())
            if hmac.compare_digest(holder.digest, digest)
        }
        if not found:
            raise reject(401, CREDENTIAL_UNKNOWN, 'unknown credential')
        return found
