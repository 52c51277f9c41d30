"""Watch over imports after the start of a program."""

import sys
from collections.abc import Sequence
from importlib.abc import MetaPathFinder
from importlib.machinery import ModuleSpec
from types import ModuleType

from .logs import get_logger

logger = get_logger(__name__)


class ImportReporter(MetaPathFinder):
    """Logs each module that is imported from now on, and leaves the import to the others.

    An import beside the threads of the RPC library can end the process with a segmentation fault.
    """

    def find_spec(
        self, name: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Log the module; return nothing, so that the next finder is asked."""
        logger.warning("module imported after the start", imported=name)
        return None


def report_imports() -> None:
    """Log imports from now on."""
    sys.meta_path.insert(0, ImportReporter())
