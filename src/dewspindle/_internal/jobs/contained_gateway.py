"""Keeps an unexpected error of a call to a worker from reaching what runs beside the call."""

from collections.abc import Iterator
from contextlib import contextmanager

from ..utils.logs import get_logger
from .gateway import (
    AnswerTimeoutError,
    NoDefiniteAnswerError,
    OrderAnswer,
    RenewalAnswer,
    RenewalOrder,
    StartOrder,
    StopOrder,
    WorkerEndpoint,
    WorkerGateway,
    WorkerReplacedError,
)

logger = get_logger(__name__)


@contextmanager
def contain_errors(worker: WorkerEndpoint) -> Iterator[None]:
    """Turn an unexpected error into a call without an answer, which may still have an effect."""
    try:
        yield
    except (NoDefiniteAnswerError, WorkerReplacedError, MemoryError):
        raise
    except Exception as error:
        logger.exception("call to a worker failed", worker=worker.id)
        raise AnswerTimeoutError(f"unexpected {type(error).__name__}") from error


class ContainedGateway(WorkerGateway):
    """Calls workers through another gateway; raises only what `WorkerGateway` allows."""

    def __init__(self, gateway: WorkerGateway) -> None:
        self._gateway = gateway

    async def start(
        self, worker: WorkerEndpoint, order: StartOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Send a start order."""
        with contain_errors(worker):
            return await self._gateway.start(worker, order, timeout_s=timeout_s)

    async def stop(
        self, worker: WorkerEndpoint, order: StopOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Send a stop order."""
        with contain_errors(worker):
            return await self._gateway.stop(worker, order, timeout_s=timeout_s)

    async def renew_lease(
        self, worker: WorkerEndpoint, order: RenewalOrder, *, timeout_s: float
    ) -> RenewalAnswer:
        """Renew the worker's lease, and list running and ended tasks."""
        with contain_errors(worker):
            return await self._gateway.renew_lease(worker, order, timeout_s=timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        await self._gateway.close()
