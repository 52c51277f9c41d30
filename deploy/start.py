"""Launcher that starts one role of dewspindle from a checkout, on the platform."""

import os
import signal
import sys
from pathlib import Path


def start() -> int:
    """Run the role named on the command line and return the exit status."""
    # Ignore SIGHUP until the program installs its handler: the default action would kill the
    # process during imports, and no settings have been read yet that could be reloaded.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # No server is called over TLS, and the machine's certificates take long to load.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))
    from dewspindle._internal.platform.early_listener import listen_for_callers

    listen_for_callers()
    from dewspindle._internal.platform.programs import main

    return main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(start())
