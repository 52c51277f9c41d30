#!/usr/bin/env bash
# Plays the case; an argument is the seed. Exit status: 1 broken, 0 held, 2 did not run.
cd "$(dirname "$0")" && exec python3 scenario.py "$@"
