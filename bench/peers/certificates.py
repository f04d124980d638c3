"""Certificates for the links of a bench."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import trustme

from lavenderbend.transport import tls

if TYPE_CHECKING:
    from collections.abc import Iterable


def issue(directory: str, names: Iterable[str]) -> dict[str, tls.PeerTls]:
    """Writes certificates of one authority; returns them by router."""
    base = pathlib.Path(directory)
    authority = trustme.CA(key_type=trustme.KeyType.ECDSA)
    authority.cert_pem.write_to_path(str(base / 'ca.pem'))
    issued = {}
    for name in names:
        certificate = authority.issue_cert(name, key_type=trustme.KeyType.ECDSA)
        certificate.cert_chain_pems[0].write_to_path(f'{base / name}.pem')
        certificate.private_key_pem.write_to_path(f'{base / name}.key')
        issued[name] = tls.PeerTls(
            f'{base / name}.pem', f'{base / name}.key', str(base / 'ca.pem')
        )
    return issued


def issue_shared(directory: str, names: Iterable[str]) -> tls.PeerTls:
    """Writes one certificate that carries all the names."""
    base = pathlib.Path(directory)
    authority = trustme.CA(key_type=trustme.KeyType.ECDSA)
    authority.cert_pem.write_to_path(str(base / 'ca.pem'))
    certificate = authority.issue_cert(*names, key_type=trustme.KeyType.ECDSA)
    certificate.cert_chain_pems[0].write_to_path(str(base / 'all.pem'))
    certificate.private_key_pem.write_to_path(str(base / 'all.key'))
    return tls.PeerTls(
        str(base / 'all.pem'), str(base / 'all.key'), str(base / 'ca.pem')
    )
