"""TLS credentials for connections between instances."""

from dataclasses import dataclass
from pathlib import Path

import grpc

from ..schema import settings_pb2


@dataclass(frozen=True, slots=True)
class Certificates:
    """The contents of the certificate, key and authority files."""

    certificate: bytes
    key: bytes
    authority: bytes


class TlsFiles:
    """Rereads the certificate files when they change."""

    def __init__(self, settings: settings_pb2.Settings) -> None:
        self._paths = [
            Path(settings.tls_certificate),
            Path(settings.tls_key),
            Path(settings.tls_ca),
        ]
        self._modified_ns: tuple[int, ...] = ()

    def read_if_changed(self) -> Certificates | None:
        """Return the contents if any file changed since the last call, else None."""
        modified_ns = tuple(path.stat().st_mtime_ns for path in self._paths)
        if modified_ns == self._modified_ns:
            return None
        certificate, key, authority = (path.read_bytes() for path in self._paths)
        self._modified_ns = modified_ns
        return Certificates(certificate=certificate, key=key, authority=authority)


def make_server_credentials(settings: settings_pb2.Settings) -> grpc.ServerCredentials | None:
    """Return credentials that require a client certificate, or None if TLS is not configured."""
    if not settings.tls_certificate:
        return None
    files = TlsFiles(settings)

    def make_configuration(
        certificates: Certificates | None,
    ) -> grpc.ServerCertificateConfiguration | None:
        if certificates is None:
            return None
        return grpc.ssl_server_certificate_configuration(
            [(certificates.key, certificates.certificate)],
            root_certificates=certificates.authority,
        )

    return grpc.dynamic_ssl_server_credentials(
        make_configuration(files.read_if_changed()),  # type: ignore[arg-type]
        lambda: make_configuration(files.read_if_changed()),  # type: ignore[arg-type, return-value]
        require_client_authentication=True,
    )


def make_channel_credentials(certificates: Certificates) -> grpc.ChannelCredentials:
    """Return credentials with a client certificate that verify the server's certificate."""
    return grpc.ssl_channel_credentials(
        root_certificates=certificates.authority,
        private_key=certificates.key,
        certificate_chain=certificates.certificate,
    )
