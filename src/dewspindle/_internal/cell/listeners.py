"""What a part may be told of as the state changes."""

from ..schema import cell_pb2, jobs_pb2
from .jobs import StoredJob
from .worker_table import WorkerInfo


class StateListener:
    """Is told of each change while an entry is applied; does nothing unless overridden."""

    def on_task(self, record: cell_pb2.Record, task: cell_pb2.Task) -> None:
        """Take note that a task changed its state."""

    def on_worker(self, worker_info: WorkerInfo) -> None:
        """Take note that a worker or what is free on it changed."""

    def on_record(self, record: cell_pb2.Record) -> None:
        """Take note that a record was submitted, changed or ended."""

    def on_config(self, name: str) -> None:
        """Take note that a configuration changed."""

    def on_job(self, job: StoredJob) -> None:
        """Take note that a job was accepted or ended."""

    def on_task_end(self, job: StoredJob, end: jobs_pb2.TaskEnd) -> None:
        """Take note that a task of a job ended."""

    def on_queues(self) -> None:
        """Take note that the table of queues changed."""

    def on_restore(self) -> None:
        """Take note that the whole state was replaced."""
