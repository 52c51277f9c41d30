"""Code shared by the two kinds of instances of a job cell.

A job cell is a group of replicas that runs multi-step jobs on called workers; entry instances relay
callers' requests to its leader.
"""

from typing import Protocol

from .http.server import HttpServer

LEADER_ATTEMPT_TIMEOUT_S = 0.6  # A commit takes 20 ms, and 0.3 s on a slow disk.


class JobInstance(Protocol):
    """An instance that the program runs and stops."""

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown."""

    async def run(self) -> None:
        """Run until a graceful shutdown has ended."""


async def stop_servers(servers: list[HttpServer]) -> None:
    """Stop accepting connections and wait until the open requests are answered.

    Each server cuts off open requests after its own time limit. The caller may limit the wait too.
    """
    for server in servers:
        server.stop()
    for server in servers:
        await server.stopped.wait()
