#!/bin/sh
# Pins what pyproject.toml asks for: runtime.lock for the program, platform.lock for the part of it
# that runs on the users' machines (no command line, no operator interface), dev.lock for working on it.
set -eu
cd "$(dirname "$0")/.."
scratch="$(mktemp -d)"
python3 -m venv "$scratch/runtime"
"$scratch/runtime/bin/pip" install --quiet .
"$scratch/runtime/bin/pip" freeze --exclude dewspindle > requirements/runtime.lock
grep -E '^(aiohappyeyeballs|aiohttp|aiosignal|anyio|attrs|certifi|click|frozenlist|google-crc32c|grpcio|h11|httpcore|httptools|idna|multidict|opentelemetry-[a-z-]+|prometheus_client|propcache|protobuf|sniffio|structlog|typing_extensions|uvicorn|uvloop|yarl)==' \
  requirements/runtime.lock > requirements/platform.lock
python3 -m venv "$scratch/dev"
"$scratch/dev/bin/pip" install --quiet -r requirements/runtime.lock -r requirements/dev.in
"$scratch/dev/bin/pip" freeze > requirements/dev.lock
rm -r "$scratch"
