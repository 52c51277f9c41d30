"""HTTP interface for the configuration, membership and state of the cell."""

from collections.abc import Awaitable, Callable

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..cell.config_documents import check_config, get_config_names
from ..cell.view import CellView
from ..exceptions import ConfigNotAppliedError, NotFoundError
from ..network import methods
from ..network.leader_client import LeaderClient
from ..routing.directory import BackendDirectory
from ..routing.share_client import ShareClient
from ..schema import cell_pb2, peers_pb2, settings_pb2
from ..utils.documents import parse_json_object
from ..utils.timers import TimerService
from .change_handler import ChangeHandler, get_if_match
from .responses import check_result, make_etag, make_json_response
from .serializers import (
    serialize_amounts,
    serialize_backend,
    serialize_config,
    serialize_instance,
    serialize_worker,
)

APPLY_POLL_INTERVAL_S = 0.02


class CellApi:
    """Handles requests about configuration, status, workers, backend servers and replicas."""

    def __init__(
        self,
        *,
        settings: settings_pb2.Settings,
        view: CellView,
        change_handler: ChangeHandler,
        leader: LeaderClient,
        directory: BackendDirectory,
        share_client: ShareClient,
        timers: TimerService,
        begin_shutdown: Callable[[], None],
        save_snapshot: Callable[[], Awaitable[int]] | None,
    ) -> None:
        self._settings = settings
        self._view = view
        self._change_handler = change_handler
        self._leader = leader
        self._directory = directory
        self._share_client = share_client
        self._timers = timers
        self._begin_shutdown = begin_shutdown
        self._save_snapshot = save_snapshot

    def make_routes(self) -> list[Route]:
        """Return the routes of the interface."""
        return [
            Route("/v1/config", self.list_config, methods=["GET"]),
            Route("/v1/config/{name}", self.get_config, methods=["GET"]),
            Route("/v1/config/{name}", self.put_config, methods=["PUT"]),
            Route("/v1/status", self.show_status, methods=["GET"]),
            Route("/v1/workers", self.list_workers, methods=["GET"]),
            Route("/v1/backends", self.list_backends, methods=["GET"]),
            Route("/v1/replicas/{instance}", self.add_replica, methods=["PUT"]),
            Route("/v1/replicas/{instance}", self.remove_replica, methods=["DELETE"]),
            Route("/v1/snapshot", self.save_snapshot, methods=["POST"]),
            Route("/v1/drain", self.drain, methods=["POST"]),
        ]

    async def list_config(self, request: Request) -> Response:
        """List the configurations applied on this instance."""
        self._change_handler.authorization.check_read(request)
        entries = [serialize_config(entry) for entry in self._view.state.config.values()]
        return make_json_response({"config": entries, "names": get_config_names()})

    async def get_config(self, request: Request) -> Response:
        """Return a configuration or one of its earlier revisions."""
        self._change_handler.authorization.check_read(request)
        name = request.path_params["name"]
        revision = request.query_params.get("revision")
        candidates = (
            self._view.state.config_versions if revision else self._view.state.config.values()
        )
        for entry in candidates:
            if entry.name == name and revision in (None, str(entry.revision)):
                headers = {"ETag": make_etag(entry.revision)}
                return make_json_response(serialize_config(entry), headers=headers)
        raise NotFoundError(
            f"configuration {name!r} has not been set, or the requested revision is not kept",
            hint="set a first one with If-None-Match: *",
        )

    async def put_config(self, request: Request) -> Response:
        """Change a configuration; with `wait=in-force`, wait until all ready instances apply it."""
        body = await self._change_handler.read_change_body(request)
        name = request.path_params["name"]
        value = check_config(name, parse_json_object(body))
        command = cell_pb2.Command(
            put_config=cell_pb2.PutConfig(name=name, if_revision=get_if_match(request), value=value)
        )
        result = await self._change_handler.commit(request, command, body)
        if request.query_params.get("wait") == "in-force":
            await self._wait_until_applied_by_all(result.revision)
        return make_json_response(
            {"name": name, "revision": result.revision},
            headers={"ETag": make_etag(result.revision)},
        )

    async def _wait_until_applied_by_all(self, revision: int) -> None:
        """Wait until every ready instance has applied a revision, or raise `ConfigNotAppliedError`.

        An instance that is fenced, silent, not yet admitted or shutting down is not ready. The
        leader lists the instances in its answers to the share client.
        """
        deadline = self._timers.now() + self._settings.propose_timeout_ms / 1000
        while True:
            lagging = [
                status.instance_id
                for status in self._share_client.instances
                if status.revision < revision and status.ready
            ]
            if not lagging and self._share_client.instances:
                return
            if self._timers.now() >= deadline:
                raise ConfigNotAppliedError(
                    f"revision {revision} is not known to be in force on "
                    f"{', '.join(lagging) or 'any instance'}"
                )
            await self._timers.sleep(APPLY_POLL_INTERVAL_S)

    async def show_status(self, request: Request) -> Response:
        """Return the state of the cell as known to this instance."""
        self._change_handler.authorization.check_read(request)
        state = self._view.state
        membership = state.membership
        return make_json_response(
            {
                "instance": self._settings.instance_id,
                "availability_zone": self._settings.availability_zone,
                "cell": membership.cell_id,
                "revision": self._view.revision,
                "age_ms": int(min(self._view.age_s, 1e9) * 1000),
                "fresh": self._view.is_fresh,
                "leader": self._view.leader_instance,
                "voters": [voter.instance_id for voter in membership.voters],
                "learners": [learner.instance_id for learner in membership.learners],
                "records_open": len(state.open_records),
                "workers": len(state.worker_table),
                "capacity": serialize_amounts(state.worker_table.total),
                "instances": [serialize_instance(s) for s in self._share_client.instances],
            }
        )

    async def list_workers(self, request: Request) -> Response:
        """List the workers."""
        self._change_handler.authorization.check_read(request)
        return make_json_response(
            {"workers": [serialize_worker(w) for w in self._view.state.worker_table]}
        )

    async def list_backends(self, request: Request) -> Response:
        """List the backend servers."""
        self._change_handler.authorization.check_read(request)
        serialized = [serialize_backend(self._directory, b) for b in self._directory.get_all()]
        return make_json_response({"backends": serialized})

    async def add_replica(self, request: Request) -> Response:
        """Promote an instance's learner to a voter."""
        return await self._change_members(request, remove=False)

    async def remove_replica(self, request: Request) -> Response:
        """Remove an instance's replica."""
        return await self._change_members(request, remove=True)

    async def _change_members(self, request: Request, *, remove: bool) -> Response:
        self._change_handler.authorization.check_change(request)
        change_request = peers_pb2.ChangeMembersRequest(
            instance_id=request.path_params["instance"], remove=remove
        )
        result = await self._leader.send(
            methods.CHANGE_MEMBERS,
            change_request,
            timeout_s=self._settings.propose_timeout_ms / 1000,
            is_idempotent=True,
        )
        check_result(result)
        return make_json_response({"revision": result.revision, "detail": result.detail})

    async def save_snapshot(self, request: Request) -> Response:
        """Write a snapshot of this instance's replica immediately."""
        self._change_handler.authorization.check_change(request)
        if self._save_snapshot is None:
            raise NotFoundError("this instance has no replica")
        return make_json_response({"revision": await self._save_snapshot()})

    async def drain(self, request: Request) -> Response:
        """Begin a graceful shutdown of this instance."""
        self._change_handler.authorization.check_change(request)
        self._begin_shutdown()
        return make_json_response({"instance": self._settings.instance_id, "draining": True})
