"""Directory of the backend servers known to an instance."""

from dataclasses import dataclass, field

from ..exceptions import InvalidDocumentError, NotFoundError
from ..schema import documents_pb2, peers_pb2, settings_pb2
from ..utils.addresses import parse_address
from ..utils.timers import Signal, TimerService

EJECT_AFTER_FAILURES = 3  # Consecutive failures.
EJECTION_BASE_S = 1.0
EJECTION_MAX_S = 30.0
MAX_EJECTED_FRACTION = 0.5  # Of the ready backend servers of a service.
REMOVE_AFTER_S = 30.0  # After the announcement expired.


@dataclass(slots=True)
class Backend:
    """A backend server as announced, with its call failures and ejection on this instance.

    An ejected backend server gets no calls for a while, then a single one as a probe. Failures and
    ejections are counted since its last complete answer.
    """

    document: documents_pb2.BackendDocument
    announced_at: float  # Or the time of the withdrawal, if it is gone.
    is_gone: bool = False
    failures: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    has_probe_in_progress: bool = field(default=False)

    @property
    def id(self) -> str:
        """Return the id from the backend server's announcement."""
        return self.document.id


class BackendDirectory:
    """Backend servers announced to this instance or to others."""

    def __init__(self, *, settings: settings_pb2.Settings, timers: TimerService) -> None:
        self._settings = settings
        self._timers = timers
        self._backends: dict[str, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}
        self._local_updates: dict[str, Backend] = {}
        self._signal = Signal()

    @property
    def signal(self) -> Signal:
        """Return the signal that is set when a backend server is added, changed or removed."""
        return self._signal

    def get_all(self) -> list[Backend]:
        """Return all backend servers whose announcement is valid."""
        return [backend for backend in self._backends.values() if self.is_alive(backend)]

    def list_ready(self, service: str) -> list[Backend]:
        """Return the announced backend servers of a service in state ready, also ejected ones."""
        return [
            backend
            for backend in self._by_service.get(service, ())
            if backend.document.state == "ready" and self.is_alive(backend)
        ]

    def get(self, backend_id: str) -> Backend | None:
        """Return a backend server by id, or None if it is unknown."""
        return self._backends.get(backend_id)

    def is_alive(self, backend: Backend) -> bool:
        """Return whether a backend server's announcement is still valid."""
        lifetime_s = self._settings.backend_lifetime_ms / 1000
        return not backend.is_gone and self._timers.now() < backend.announced_at + lifetime_s

    def announce(self, document: documents_pb2.BackendDocument) -> None:
        """Validate and store an announcement made to this instance."""
        self._check(document)
        now = self._timers.now()
        backend = self._put(document, announced_at=now, is_gone=False)
        self._local_updates[document.id] = backend

    def _check(self, document: documents_pb2.BackendDocument) -> None:
        try:
            parse_address(document.address)
        except ValueError as error:
            raise InvalidDocumentError(f"field 'address': {error}", field="address") from None
        if 0 < document.connections < self._settings.max_instances:
            raise InvalidDocumentError(
                f"field 'connections' is {document.connections}, which is less than one for "
                f"each of {self._settings.max_instances} instances",
                field="connections",
            )
        known = self._backends.get(document.id)
        if known is None or not self.is_alive(known):
            return
        if known.document.service != document.service:
            raise InvalidDocumentError(
                f"backend server {document.id} already serves {known.document.service}",
                field="service",
            )

    def mark_gone(self, backend_id: str) -> None:
        """Mark a backend server as gone after its announcement was withdrawn on this instance.

        The entry stays until `remove_expired` deletes it, so that other instances are told.
        """
        backend = self._backends.get(backend_id)
        if backend is None:
            raise NotFoundError(f"there is no backend server {backend_id}")
        backend.is_gone = True
        backend.announced_at = self._timers.now()
        self._local_updates[backend_id] = backend
        self._signal.set()

    def merge(self, status: peers_pb2.BackendStatus, *, as_of: float) -> None:
        """Merge a status sent by another instance, unless it is older than the known one.

        `as_of` is the time on this instance's clock from which the status's age is subtracted: that
        of the receipt of a request, or of the sending of the request that the status answers.
        """
        announced_at = as_of - status.age_ms / 1000
        known = self._backends.get(status.backend.id)
        if known is not None and announced_at <= known.announced_at:
            return
        self._put(status.backend, announced_at=announced_at, is_gone=status.gone)

    def _put(
        self,
        document: documents_pb2.BackendDocument,
        *,
        announced_at: float,
        is_gone: bool,
    ) -> Backend:
        backend = self._backends.get(document.id)
        if backend is None:
            backend = Backend(document=document, announced_at=announced_at)
            self._backends[document.id] = backend
            self._by_service.setdefault(document.service, []).append(backend)
            changed = True
        else:
            changed = backend.document != document or backend.is_gone != is_gone
            if backend.document.service != document.service:
                self._by_service[backend.document.service].remove(backend)
                self._by_service.setdefault(document.service, []).append(backend)
            backend.document = document
            backend.announced_at = announced_at
        backend.is_gone = is_gone
        if changed:
            self._signal.set()
        return backend

    def take_updates(self) -> list[peers_pb2.BackendStatus]:
        """Return the statuses updated on this instance, and clear the list of these updates."""
        updates, self._local_updates = self._local_updates, {}
        return [self.make_status(backend) for backend in updates.values()]

    def list_statuses(self) -> list[peers_pb2.BackendStatus]:
        """Return the statuses of all known backend servers, including those that are gone."""
        return [self.make_status(backend) for backend in self._backends.values()]

    def make_status(self, backend: Backend) -> peers_pb2.BackendStatus:
        """Return a backend server's status as sent to other instances."""
        age_s = max(0.0, self._timers.now() - backend.announced_at)
        return peers_pb2.BackendStatus(
            backend=backend.document,
            age_ms=min(int(age_s * 1000), 1 << 31),
            gone=backend.is_gone,
        )

    def remove_expired(self) -> None:
        """Delete backend servers whose announcement expired more than REMOVE_AFTER_S ago."""
        now = self._timers.now()
        lifetime_s = self._settings.backend_lifetime_ms / 1000
        for backend in list(self._backends.values()):
            if now > backend.announced_at + lifetime_s + REMOVE_AFTER_S:
                del self._backends[backend.id]
                self._by_service[backend.document.service].remove(backend)

    def note_success(self, backend: Backend) -> None:
        """Record an answer of a backend server, which ends its ejection."""
        backend.failures = 0
        backend.ejections = 0
        backend.has_probe_in_progress = False
        backend.ejected_until = 0.0

    def note_failure(self, backend: Backend) -> None:
        """Record a failure of a backend server, and eject it after repeated failures."""
        backend.failures += 1
        if backend.failures < EJECT_AFTER_FAILURES and not backend.has_probe_in_progress:
            return
        backend.has_probe_in_progress = False
        peers = self.list_ready(backend.document.service)
        ejected = sum(self.is_ejected(peer) for peer in peers if peer is not backend)
        if (ejected + 1) > len(peers) * MAX_EJECTED_FRACTION:
            return
        ejection_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2**backend.ejections)
        backend.ejections += 1
        backend.ejected_until = self._timers.now() + ejection_s

    def end_probe(self, backend: Backend) -> None:
        """Allow another probe, as the last one ended without telling how the backend server is."""
        backend.has_probe_in_progress = False

    def is_ejected(self, backend: Backend) -> bool:
        """Return whether a backend server gets no calls at present because of failures."""
        if backend.ejected_until == 0.0:
            return False
        if self._timers.now() < backend.ejected_until:
            return True
        # After the ejection period, a single call is sent as a probe; others wait for its result.
        return backend.has_probe_in_progress
