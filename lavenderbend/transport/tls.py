"""Mutual TLS for peer links, with reload of changed certificate files."""

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
    """Returns whether a host is a loopback address."""
    if host == 'localhost':
        return True
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def check_bind(host: str, tls: PeerTls | None, allow_plain: bool) -> None:
    """Checks that peers may be served at an address.

    Raises:
        PeerTlsRequired: The address is not loopback, there is no TLS, and the
            settings do not explicitly allow plain peer links.
    """
    if tls is not None or allow_plain or is_loopback(host):
        return
    raise errors.PeerTlsRequired(
        f'peers would be served at {host} without mutual TLS; give the '
        'certificate files, or explicitly allow plain peer links'
    )


def peer_names(certificate: dict) -> frozenset[str]:
    """Returns the names in a certificate, given as by `getpeercert`."""
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
    """Certificate, key and certificate authorities of one router.

    The files are checked for changes whenever a connection is opened. New
    contents apply to new connections; established ones are not affected.

    Attributes:
        certificate: Path of the certificate chain (PEM).
        key: Path of its private key (PEM).
        ca: Path of the certificate authorities that sign peers' certificates.
        generation: Number of times that the files have been loaded.
        reload_failing: Whether the last reload failed.
        loaded_state: State of the files that are in use.
    """

    def __init__(self, certificate: str, key: str, ca: str) -> None:
        """Reads the files.

        Raises:
            TlsFilesInvalid: They cannot be read or do not match.
        """
        self.certificate = certificate
        self.key = key
        self.ca = ca
        self.generation = 0
        self.reload_failing = False
        self.loaded_state: tuple = ()
        self.server: ssl.SSLContext
        self.client: ssl.SSLContext
        self.load(self.file_state())

    def server_context(self) -> ssl.SSLContext:
        """Returns the context for connections from peers."""
        self.refresh()
        return self.server

    def client_context(self) -> ssl.SSLContext:
        """Returns the context for connections to peers."""
        self.refresh()
        return self.client

    def file_state(self) -> tuple:
        """Returns modification time, size and inode of each file.

        Raises:
            TlsFilesInvalid: The attributes of a file cannot be read.
        """
        states = []
        for path in (self.certificate, self.key, self.ca):
            try:
                status = os.stat(path)
            except OSError as exc:
                raise errors.TlsFilesInvalid(f'{path}: {exc}') from exc
            states.append((status.st_mtime_ns, status.st_size, status.st_ino))
        return tuple(states)

    def refresh(self) -> None:
        """Loads the files if they have changed and are consistent."""
        try:
            state = self.file_state()
            if state == self.loaded_state:
                return
            self.load(state)
        except errors.TlsFilesInvalid as exc:
            # the files are replaced one after the other, and in between the
            # certificate and the key do not match. The old contexts are used
            # until they do, so that no connection fails meanwhile.
            RELOADS.inc({'result': 'failed'})
            if not self.reload_failing:
                logs.change('peer_tls_reload_failed', error=str(exc))
            self.reload_failing = True
            return
        self.reload_failing = False
        RELOADS.inc({'result': 'done'})
        logs.change('peer_tls_reloaded', generation=self.generation)

    def load(self, state: tuple) -> None:
        """Builds both contexts from the files.

        Raises:
            TlsFilesInvalid: They cannot be read or do not match.
        """
        server = self.build(ssl.PROTOCOL_TLS_SERVER)
        client = self.build(ssl.PROTOCOL_TLS_CLIENT)
        self.server = server
        self.client = client
        self.loaded_state = state
        self.generation += 1

    def build(self, protocol: int) -> ssl.SSLContext:
        """Returns a context that requires and verifies peer certificates.

        Raises:
            TlsFilesInvalid: The files cannot be read or do not match.
        """
        context = ssl.SSLContext(protocol)
        # the names are router ids; the link compares them with the id in the
        # hello message
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
