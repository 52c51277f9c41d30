"""Processes of the real programs, and the signals sent to them."""

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
TERMINATE_TIMEOUT_S = 8.0  # `policy_limits.grace_period_s` plus a margin.
LATE_IMPORT = "module imported after the start"
SETTINGS = {
    "bootstrap": "true",
    "fault_tolerance.machines": "1",
    "policy_limits.max_hold_ms": "6000",
    "policy_limits.status_s": "120",
    "policy_limits.grace_period_s": "6",
}


class Program:
    """One program, with its settings file, data folder and log file."""

    def __init__(self, role: str, name: str, ip: str, directory: Path, **settings: str) -> None:
        self.role = role
        self.name = name
        self.ip = ip
        self.is_running = False
        self.is_paused = False
        # Exits without a signal from the soak test, and failed stops.
        self.exit_errors: list[str] = []
        self._directory = directory
        self._process: Process | None = None
        self._exit_expected = False
        self._settings = {
            **SETTINGS,
            "node_name": name,
            "zone": "zone",
            "ip": ip,
            # The programs listen only on the first port.
            "internal_ports": f"{PEER_PORT},{PEER_PORT + 10}",
            **settings,
        }
        if role == "cell":
            self._settings["data_dir"] = str(directory / f"{name}.data")
            self._settings["bind_addrs.admin"] = f"{ip}:{CONTROL_PORT}"
        else:
            self._settings["bind_addrs.client_addr"] = f"{ip}:{CLIENT_PORT}"
            # Nothing probes the readiness during the run; any other port would do.
            self._settings["bind_addrs.readiness"] = f"{ip}:{CLIENT_PORT + 6}"

    @property
    def log(self) -> Path:
        """Return the file with the output of the program."""
        return self._directory / f"{self.name}.log"

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
        self.is_running, self.is_paused, self._exit_expected = True, False, False

    @property
    def _settings_file(self) -> Path:
        return self._directory / f"{self.name}.conf"

    def _make_data_folder(self) -> None:
        if "data_dir" in self._settings:
            Path(self._settings["data_dir"]).mkdir(exist_ok=True)

    def write_settings(self, **changes: str) -> None:
        """Replace the settings file atomically."""
        self._settings.update(changes)
        new_file = self._settings_file.with_suffix(".new")
        new_file.write_text("".join(f"{name}={value}\n" for name, value in self._settings.items()))
        new_file.rename(self._settings_file)

    def _send_signal(self, signal_number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP, which it cannot handle."""
        self.is_paused = True
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self.is_paused = False
        self._send_signal(signal.SIGCONT)

    def reload(self) -> None:
        """Signal the process that its settings changed."""
        self._send_signal(signal.SIGHUP)

    async def kill(self, *, wipe_data: bool = False) -> None:
        """Kill the process and, with `wipe_data`, delete its data folder."""
        self._exit_expected = True
        self._send_signal(signal.SIGKILL)
        await self._wait()
        if wipe_data:
            shutil.rmtree(self._settings["data_dir"])
            # The replica must rejoin the cell as a new one; `bootstrap` lets it form a cell.
            self._settings["bootstrap"] = "false"

    async def terminate(self) -> None:
        """Stop the process gracefully; kill it after a timeout."""
        self._exit_expected = True
        self._send_signal(signal.SIGTERM)
        with anyio.move_on_after(TERMINATE_TIMEOUT_S):
            await self._wait()
            return
        self.exit_errors.append(f"{self.name} did not stop within {TERMINATE_TIMEOUT_S} s")
        await self.kill()

    async def _wait(self) -> None:
        if self._process is not None:
            await self._process.wait()
        self.is_running = False

    def list_late_imports(self) -> list[str]:
        """Return the log lines of modules that were imported after a start."""
        lines = self.log.read_text(errors="replace").splitlines() if self.log.exists() else []
        return [f"{self.name}: {line}" for line in lines if LATE_IMPORT in line]

    def check(self) -> None:
        """Record an exit that the soak test did not cause."""
        process: Any = self._process
        if process is not None and process.returncode is not None and not self._exit_expected:
            self.exit_errors.append(f"{self.name} exited unexpectedly with {process.returncode}")
            self._exit_expected, self.is_running = True, False
