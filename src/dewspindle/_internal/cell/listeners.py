"""Interface for components that react to state changes."""

from ..schema import cell_pb2, jobs_pb2
from .jobs import StoredJob
from .worker_table import WorkerInfo


class StateListener:
    """Base of listeners that are called as entries are applied; every method is a no-op."""

    def on_task(self, record: cell_pb2.Record, task: cell_pb2.Task) -> None:
        """Handle a change of the state of a record's task."""

    def on_worker(self, worker_info: WorkerInfo) -> None:
        """Handle a change of a polling worker or of its free resources."""

    def on_record(self, record: cell_pb2.Record) -> None:
        """Handle a record that was submitted, changed or ended."""

    def on_config(self, name: str) -> None:
        """Handle a change of a configuration."""

    def on_job(self, job: StoredJob) -> None:
        """Handle a job that was accepted or ended."""

    def on_task_end(self, job: StoredJob, end: jobs_pb2.TaskEnd) -> None:
        """Handle the end of a task of a job."""

    def on_queues(self) -> None:
        """Handle a change of the queue table."""

    def on_restore(self) -> None:
        """Handle the replacement of the whole state by a snapshot."""
