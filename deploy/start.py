"""Starts one role of dewspindle from a checkout, on the platform."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from dewspindle._internal.platform.programs import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
