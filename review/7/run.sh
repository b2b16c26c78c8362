#!/usr/bin/env bash
# CONFIG: after the store left calls unanswered for 8 s, changes aren't seen for long.
cd "$(dirname "$0")"
exec python3 -B play.py
