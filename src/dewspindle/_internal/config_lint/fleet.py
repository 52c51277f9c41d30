"""Workers known to the configuration check."""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from ..exceptions import InvalidDocumentError
from ..models.resources import NO_RESOURCES, Amounts


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """Worker of a listing; its pool and labels are None where the listing lacks them."""

    id: str
    capacity: Amounts
    pool: str | None = None
    labels: frozenset[str] | None = None


@dataclass(frozen=True)
class Fleet:
    """Workers of a listing, at least one."""

    workers: Sequence[ListedWorker]

    @cached_property
    def capacity(self) -> Amounts:
        """Return the capacity of all workers together."""
        return sum((worker.capacity for worker in self.workers), NO_RESOURCES)

    @property
    def has_pools(self) -> bool:
        """Return whether the pool of every worker is known."""
        return all(worker.pool is not None for worker in self.workers)

    @property
    def has_labels(self) -> bool:
        """Return whether the labels of every worker are known."""
        return all(worker.labels is not None for worker in self.workers)

    def get_pool_workers(self, pool: str) -> list[ListedWorker]:
        """Return the workers that are, or may be, in a pool."""
        return [worker for worker in self.workers if worker.pool in (None, pool)]


def decode_fleet(listing: Any) -> Fleet | None:
    """Decode an answer of `GET /v1/workers`; return None if it lists no worker.

    The listing may also give the `pool` and `labels` of each worker.
    """
    entries = listing.get("workers") if isinstance(listing, dict) else None
    if not isinstance(entries, list):
        raise InvalidDocumentError("the listing has no list 'workers'", field="workers")
    workers = [_decode_worker(entry, f"workers[{n}]") for n, entry in enumerate(entries)]
    return Fleet(workers) if workers else None


def _decode_worker(entry: Any, path: str) -> ListedWorker:
    if not isinstance(entry, dict) or not isinstance(entry.get("capacity"), dict):
        raise InvalidDocumentError(f"{path} is not a worker with a capacity", field=path)
    pool = entry.get("pool")
    labels = entry.get("labels")
    if not isinstance(pool, str | None):
        raise InvalidDocumentError(f"{path}.pool is not a string", field=f"{path}.pool")
    if labels is not None and not (
        isinstance(labels, list) and all(isinstance(label, str) for label in labels)
    ):
        raise InvalidDocumentError(f"{path}.labels is not a list of strings", field=path)
    return ListedWorker(
        id=str(entry.get("id", "")),
        capacity=_decode_capacity(entry["capacity"], f"{path}.capacity"),
        pool=pool,
        labels=None if labels is None else frozenset(labels),
    )


def _decode_capacity(fields: dict[str, Any], path: str) -> Amounts:
    amounts = []
    for name in ("processors", "memory_mb", "accelerators"):
        amount = fields.get(name, 0)
        if not isinstance(amount, int) or isinstance(amount, bool) or amount < 0:
            raise InvalidDocumentError(f"{path}.{name} is not an amount", field=f"{path}.{name}")
        amounts.append(amount)
    return Amounts(*amounts)
