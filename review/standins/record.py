"""The record of what was sent, answered and run."""

import time
from pathlib import Path
from types import TracebackType


class SetupError(Exception):
    """The case could not run."""


class Record:
    """Writes timed lines to a file; times are seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Write one line with its time."""
        self._file.write(f"{self.now:9.3f} {text}\n")
        self._file.flush()

    def conclude(self, text: str) -> None:
        """Write one line and print it, too."""
        self.write(text)
        print(text, flush=True)

    def __enter__(self) -> "Record":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._file.close()
