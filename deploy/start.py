"""Starts one role of dewspindle from a checkout, on the platform."""

import signal
import sys
from pathlib import Path


def start() -> int:
    """Run the role that the command line names; return the exit status."""
    # Until the program has read its settings there is nothing to read again, and the signal would
    # end a process that has only begun to import.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))
    from dewspindle._internal.platform.programs import main

    return main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(start())
