#!/bin/sh
# Case 11: see claim.txt. TROUBLE=0 plays it without crashes of workers.
cd "$(dirname "$0")" && exec python3 play.py
