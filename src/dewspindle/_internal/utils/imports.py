"""Imports of libraries after the start of a program."""

from collections.abc import Sequence
from importlib import import_module
from types import ModuleType

import anyio.lowlevel


async def import_in_steps(module: str, package: str, *, libraries: Sequence[str]) -> ModuleType:
    """Import a module after its libraries, and let other tasks run between two imports.

    An import in a thread beside the RPC library's can end the process with a segmentation fault.
    """
    for library in libraries:
        import_module(library)
        await anyio.lowlevel.checkpoint()
    return import_module(module, package)
