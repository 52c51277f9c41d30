"""Generate the schema package from the .proto files in this folder."""

import re
import sys
from pathlib import Path

import grpc_tools
from grpc_tools import protoc

PROTO_DIR = Path(__file__).parent
WELL_KNOWN_DIR = Path(grpc_tools.__file__).parent / "_proto"
ABSOLUTE_IMPORT = re.compile(r"^import (\w+_pb2) as (\w+)$", re.MULTILINE)
STUB_IMPORT = re.compile(r"^import (\w+_pb2) as (_\w+)$", re.MULTILINE)


def make_relative(path: Path) -> None:
    """Replace absolute imports of sibling modules in a generated module by relative ones."""
    text = path.read_text(encoding="utf-8")
    text = ABSOLUTE_IMPORT.sub(r"from . import \1 as \2", text)
    text = STUB_IMPORT.sub(r"from . import \1 as \2", text)
    path.write_text(text, encoding="utf-8")


def main() -> int:
    """Write the generated modules to the folder given as the first argument."""
    target = Path(sys.argv[1])
    target.mkdir(parents=True, exist_ok=True)
    sources = sorted(path.name for path in PROTO_DIR.glob("*.proto"))
    status = protoc.main(
        [
            "protoc",
            f"-I{PROTO_DIR}",
            f"-I{WELL_KNOWN_DIR}",
            f"--python_out={target}",
            f"--mypy_out=quiet:{target}",
            *sources,
        ]
    )
    if status:
        return int(status)
    for path in target.glob("*_pb2.py*"):
        make_relative(path)
    (target / "__init__.py").write_text('"""Generated from proto/; see proto/generate.py."""\n')
    return 0


if __name__ == "__main__":
    sys.exit(main())
