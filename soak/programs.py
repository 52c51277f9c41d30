"""The real programs as processes, and the signals that hit them."""

import os
import shutil
import signal
import sys
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import Process

ROOT = Path(__file__).parents[1]
CONTROL_PORT = 8166
CLIENT_PORT = 8161
PEER_PORT = 7720
TERMINATE_S = 8.0  # The grace period below and a margin.
SETTINGS = {
    "bootstrap": "true",
    "fault_tolerance.machines": "1",
    "policy_limits.max_hold_ms": "6000",
    "policy_limits.status_s": "120",
    "policy_limits.grace_period_s": "6",
}


class Program:
    """One program, with its settings, data folder and log."""

    def __init__(self, role: str, name: str, ip: str, folder: Path, **settings: str) -> None:
        self.role = role
        self.name = name
        self.ip = ip
        self.is_up = False
        self.is_paused = False
        self.surprises: list[str] = []  # Ends that no signal of ours caused.
        self._folder = folder
        self._process: Process | None = None
        self._expects_end = False
        self._settings = {
            **SETTINGS,
            "node_name": name,
            "zone": "zone",
            "ip": ip,
            "internal_ports": f"{PEER_PORT},{PEER_PORT + 10}",
            **settings,
        }
        if role == "cell":
            self._settings["data_dir"] = str(folder / f"{name}.data")
            self._settings["bind_addrs.admin"] = f"{ip}:{CONTROL_PORT}"
        else:
            self._settings["bind_addrs.client_addr"] = f"{ip}:{CLIENT_PORT}"
            self._settings["bind_addrs.readiness"] = f"{ip}:{CLIENT_PORT + 6}"

    @property
    def log(self) -> Path:
        """Return the file that holds what the program writes."""
        return self._folder / f"{self.name}.log"

    async def start(self) -> None:
        """Start the process."""
        self._make_data_folder()
        self.write_settings()
        with self.log.open("ab") as output:
            self._process = await anyio.open_process(
                [sys.executable, "deploy/start.py", self.role],
                cwd=ROOT,
                env={**os.environ, "DEWSPINDLE_NODE_FILE": str(self._settings_file)},
                stdout=output,
                stderr=output,
            )
        self.is_up, self.is_paused, self._expects_end = True, False, False

    @property
    def _settings_file(self) -> Path:
        return self._folder / f"{self.name}.conf"

    def _make_data_folder(self) -> None:
        if "data_dir" in self._settings:
            Path(self._settings["data_dir"]).mkdir(exist_ok=True)

    def write_settings(self, **changed: str) -> None:
        """Write the settings file, whole."""
        self._settings.update(changed)
        fresh = self._settings_file.with_suffix(".new")
        fresh.write_text("".join(f"{name}={value}\n" for name, value in self._settings.items()))
        fresh.rename(self._settings_file)

    def _send(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def pause(self) -> None:
        """Stop the process without its knowing."""
        self.is_paused = True
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.is_paused = False
        self._send(signal.SIGCONT)

    def reload(self) -> None:
        """Tell the process that its settings changed."""
        self._send(signal.SIGHUP)

    async def kill(self, *, wipes: bool = False) -> None:
        """End the process at once, and its data folder where told."""
        self._expects_end = True
        self._send(signal.SIGKILL)
        await self._wait()
        if wipes:
            shutil.rmtree(self._settings["data_dir"])
            # A replica whose disk is lost joins the cell again as a new one.
            self._settings["bootstrap"] = "false"

    async def terminate(self) -> None:
        """Ask the process to stop, and kill it where it does not."""
        self._expects_end = True
        self._send(signal.SIGTERM)
        with anyio.move_on_after(TERMINATE_S):
            await self._wait()
            return
        self.surprises.append(f"{self.name} did not stop within {TERMINATE_S} s")
        await self.kill()

    async def _wait(self) -> None:
        if self._process is not None:
            await self._process.wait()
        self.is_up = False

    def check(self) -> None:
        """Take note of an end that nothing here caused."""
        process: Any = self._process
        if process is not None and process.returncode is not None and not self._expects_end:
            self.surprises.append(f"{self.name} ended by itself with {process.returncode}")
            self._expects_end, self.is_up = True, False
