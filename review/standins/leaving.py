"""An executor that leaves, behind links that may be cut in one direction."""

import asyncio
import contextlib
from typing import Any

from .executor import HEARTBEAT_INTERVAL_S, HEARTBEAT_TIMEOUT_S, Executor, Machine
from .http11 import ConnectionLostError, KeptConnection
from .proxy import Proxy
from .record import SetupError

END_WITHOUT_ACK_S = 7.0  # "it ends anyway, some seconds later"


class LeavingMachine(Machine):
    """A machine whose executor is emptied and taken away.

    The executor keeps a connection to a node for its heartbeats. Its links lead through proxies.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._own_host = options["host"]
        self._control = options["control_addresses"]
        self._inbound = Proxy(self.address)
        self._outbound = [Proxy(address) for address in self._control]
        self._kept: KeptConnection | None = None
        self._remaining_ms: int | None = None
        self._sending = asyncio.Lock()  # One request at a time on the kept connection.

    async def start(self) -> None:
        """Start the proxies and the executor."""
        for proxy in (self._inbound, *self._outbound):
            await proxy.start(self._own_host)
        self.address = self._inbound.address
        await super().start()

    def describe_state(self) -> dict[str, Any]:
        """Return what a heartbeat says of the state of the executor."""
        if self._remaining_ms is None:
            return {"state": "ready"}
        return {"state": "draining", "remaining_ms": self._remaining_ms}

    def cut_off(self, *, for_s: float) -> None:
        """Lose all that the system sends to the machine; what the machine sends still arrives."""
        self._record.write(f"machine {self.number}: all that the system sends to it is lost")
        self._set_cut(True)
        asyncio.get_running_loop().call_later(for_s, self._set_cut, False)

    def _set_cut(self, is_cut: bool) -> None:
        if not is_cut:
            self._record.write(f"machine {self.number}: the cut has healed")
        self._inbound.loses_requests = is_cut
        for proxy in self._outbound:
            proxy.loses_answers = is_cut

    async def _send(self, path: str, body: Any) -> bool:
        """Call one node after the other, first the one of the kept connection; return the ack."""
        proxies = list(self._outbound)
        self.rng.shuffle(proxies)
        connections = [KeptConnection(proxy.address) for proxy in proxies]
        if self._kept is not None:
            connections.insert(0, self._kept)
        for connection in connections:
            try:
                status = await connection.call(
                    "POST", path, body=body, timeout_s=HEARTBEAT_TIMEOUT_S
                )
            except ConnectionLostError:
                continue
            if 200 <= status < 300:
                self._kept = connection
                return True
        return False

    async def _send_heartbeats(self, executor: Executor) -> None:
        while True:
            async with self._sending:
                await self._send(f"/Instances.Heartbeat/{executor.id}", executor.make_heartbeat())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_heartbeats_later(self, executor: Executor) -> None:
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        await self._send_heartbeats(executor)

    def _pause_heartbeats(self) -> None:
        if self._heartbeats is not None:
            self._heartbeats.cancel()

    async def drain(self, remaining_ms: int) -> None:
        """Report the planned end until it is acknowledged; heartbeats go on."""
        executor = self.executor
        assert executor is not None
        async with self._sending:
            self._pause_heartbeats()
            self._remaining_ms = remaining_ms
            for _ in range(5):
                body = executor.make_heartbeat()
                if await self._send(f"/Instances.Heartbeat/{executor.id}", body):
                    break
            else:
                raise SetupError("the drain is not acknowledged")
        self._heartbeats = asyncio.create_task(self._send_heartbeats_later(executor))
        self._record.write(f"{executor.id} drains, acknowledged; it runs {self.running}")

    async def leave(self) -> None:
        """Deregister, and end after the acknowledgement or some seconds later."""
        executor = self.executor
        assert executor is not None
        self._record.write(f"{executor.id} deregisters; it runs {self.running}")
        has_ack = False
        await self._sending.acquire()  # Held to the end.
        self._pause_heartbeats()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_WITHOUT_ACK_S):
                while not has_ack:
                    has_ack = await self._send(f"/Instances.Deregister/{executor.id}", None)
        self._record.write(f"{executor.id} {'has' if has_ack else 'has no'} acknowledgement")
        self.crash()

    def close(self) -> None:
        """Close the addresses and all connections."""
        super().close()
        if self._kept is not None:
            self._kept.close()
        for proxy in (self._inbound, *self._outbound):
            proxy.close()
