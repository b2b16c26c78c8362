#!/usr/bin/env bash
# LOST: a planned stop cuts a stream that was accepted 3.2 s or more after SIGTERM.
cd "$(dirname "$0")"
exec python3 -B play.py
