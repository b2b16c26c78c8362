#!/usr/bin/env bash
# LOST: after a SIGHUP, a stream is cut because its worker was silent for 0.9 s.
cd "$(dirname "$0")"
exec python3 -B play.py
