#!/bin/sh
# Case 13: see claim.txt. TROUBLE=0 plays it without the silence of the store.
cd "$(dirname "$0")" && exec python3 play.py
