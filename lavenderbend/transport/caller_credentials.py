"""Authenticates callers: finds the customer of a credential."""

from __future__ import annotations

import collections
import hashlib
import hmac
import secrets
from typing import TYPE_CHECKING

from lavenderbend import errors

if TYPE_CHECKING:
    from lavenderbend.state import configuration

SCHEME = 'bearer'
MAX_CREDENTIAL_CHARACTERS = 512
CACHE_SIZE = 4096


def matches(entry: str, credential: bytes) -> bool:
    """Returns whether a credential matches an entry `salt$hash`."""
    salt, _, expected = entry.partition('$')
    digest = hashlib.sha256(salt.encode() + credential).hexdigest()
    return hmac.compare_digest(digest.encode(), expected.encode())


class Credentials:
    """Looks credentials up in the configuration.

    Each credential has its own salt, so the configured hashes must be tried
    one by one. Results are cached until the configuration changes; the cache
    keys are hashes with a salt of this process.

    Attributes:
        revision: Number of the configuration revision of the cached results.
        salt: Salt of the cache.
        cache: Customer name by hash of the credential, None if no customer
            has it.
    """

    def __init__(self) -> None:
        self.revision = -1
        self.salt = secrets.token_bytes(16)
        self.cache: collections.OrderedDict[bytes, str | None] = (
            collections.OrderedDict()
        )

    def customer(
        self, revision: configuration.Revision, header: str | None
    ) -> str:
        """Returns the customer of an Authorization header.

        Raises:
            NotAuthenticated: The credential is missing or wrong.
        """
        credential = read_credential(header)
        if revision.number != self.revision:
            self.revision = revision.number
            self.cache.clear()
        key = hashlib.sha256(self.salt + credential).digest()
        if key not in self.cache:
            self.cache[key] = find_customer(revision.document, credential)
            if len(self.cache) > CACHE_SIZE:
                self.cache.popitem(last=False)
        name = self.cache[key]
        if name is None:
            raise errors.NotAuthenticated('the credential is wrong')
        return name


def read_credential(header: str | None) -> bytes:
    """Returns the credential of an Authorization header.

    Raises:
        NotAuthenticated: There is no well-formed bearer token.
    """
    if not header:
        raise errors.NotAuthenticated('the credential is missing')
    scheme, _, credential = header.partition(' ')
    credential = credential.strip()
    if scheme.lower() != SCHEME or not credential:
        raise errors.NotAuthenticated('the credential must be a bearer token')
    if len(credential) > MAX_CREDENTIAL_CHARACTERS:
        raise errors.NotAuthenticated('the credential is too long')
    return credential.encode('utf-8', 'surrogateescape')


def find_customer(
    document: configuration.Configuration, credential: bytes
) -> str | None:
    """Returns the customer that has the credential, if any."""
    for customer in document.customers:
        for entry in customer.credentials:
            if matches(entry, credential):
                return customer.name
    return None
