#!/usr/bin/env bash
# Checks that the stand-ins of the second review compile; they need only Python 3.11.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile harness2/harness.py
