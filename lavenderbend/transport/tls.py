"""Mutual TLS of peer links, with files that may change while they run."""

from __future__ import annotations

import ipaddress
import os
import ssl

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.observe import metrics

RELOADS = metrics.counter(
    'lavenderbend_peer_tls_reloads_total',
    'Reloads of the certificate files of peer links, by result.',
)


def is_loopback(host: str) -> bool:
    """Returns whether the address can only be reached from this VM."""
    if host == 'localhost':
        return True
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def check_bind(host: str, tls: PeerTls | None, allow_plain: bool) -> None:
    """Checks that peers may be served at an address.

    Raises:
        PeerTlsRequired: It is beyond loopback, there is no TLS, and the
            settings do not allow that by name.
    """
    if tls is not None or allow_plain or is_loopback(host):
        return
    raise errors.PeerTlsRequired(
        f'peers would be served at {host} without mutual TLS; give the '
        'certificate files, or allow plain peer links by name'
    )


def peer_names(certificate: dict) -> frozenset[str]:
    """Returns the names in a certificate read by `getpeercert`."""
    names = set()
    for kind, value in certificate.get('subjectAltName', ()):
        if kind in {'DNS', 'IP Address'}:
            names.add(value)
    for part in certificate.get('subject', ()):
        for key, value in part:
            if key == 'commonName':
                names.add(value)
    return frozenset(names)


class PeerTls:
    """Certificate, key and authorities of one router.

    The files are looked at whenever a connection begins. New contents hold
    for new connections; old ones run on with what they began with.

    Attributes:
        certificate: Path of the certificate chain (PEM).
        key: Path of its private key (PEM).
        ca: Path of the authorities that peers' certificates come from.
        generation: Counts the contents that have been taken into use.
    """

    def __init__(self, certificate: str, key: str, ca: str) -> None:
        """Reads the files.

        Raises:
            TlsFilesInvalid: They cannot be read or do not fit together.
        """
        self.certificate = certificate
        self.key = key
        self.ca = ca
        self.generation = 0
        self.failing = False
        self.seen: tuple = ()
        self.server: ssl.SSLContext
        self.client: ssl.SSLContext
        self.load(self.stamp())

    def server_context(self) -> ssl.SSLContext:
        """Returns the context for peers that connect to us."""
        self.refresh()
        return self.server

    def client_context(self) -> ssl.SSLContext:
        """Returns the context for peers that we connect to."""
        self.refresh()
        return self.client

    def stamp(self) -> tuple:
        """Returns what changes when one of the files does.

        Raises:
            TlsFilesInvalid: One of them cannot be looked at.
        """
        stamps = []
        for path in (self.certificate, self.key, self.ca):
            try:
                status = os.stat(path)
            except OSError as exc:
                raise errors.TlsFilesInvalid(f'{path}: {exc}') from exc
            stamps.append((status.st_mtime_ns, status.st_size, status.st_ino))
        return tuple(stamps)

    def refresh(self) -> None:
        """Takes changed files into use, if they are whole."""
        try:
            stamp = self.stamp()
            if stamp == self.seen:
                return
            self.load(stamp)
        except errors.TlsFilesInvalid as exc:
            # the files are replaced one after the other: between two of
            # them certificate and key do not fit. The old contexts serve
            # until the files fit again, so no connection fails meanwhile.
            RELOADS.inc({'result': 'failed'})
            if not self.failing:
                logs.change('peer_tls_reload_failed', error=str(exc))
            self.failing = True
            return
        self.failing = False
        RELOADS.inc({'result': 'done'})
        logs.change('peer_tls_reloaded', generation=self.generation)

    def load(self, stamp: tuple) -> None:
        """Builds both contexts from the files.

        Raises:
            TlsFilesInvalid: They cannot be read or do not fit together.
        """
        server = self.build(ssl.PROTOCOL_TLS_SERVER)
        client = self.build(ssl.PROTOCOL_TLS_CLIENT)
        self.server = server
        self.client = client
        self.seen = stamp
        self.generation += 1

    def build(self, protocol: int) -> ssl.SSLContext:
        """Returns a context that asks for and checks certificates.

        Raises:
            TlsFilesInvalid: The files cannot be read or do not fit.
        """
        context = ssl.SSLContext(protocol)
        # names are router ids, compared by the link with the hello
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        try:
            context.load_cert_chain(self.certificate, self.key)
            context.load_verify_locations(self.ca)
        except (OSError, ssl.SSLError) as exc:
            raise errors.TlsFilesInvalid(
                f'{self.certificate}, {self.key}, {self.ca}: {exc}'
            ) from exc
        return context
