#!/bin/sh
# Builds the stand-ins of the third review: plain Python of the standard library, which is
# only compiled here, to find a wrong interpreter before a case is played.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in standins-3/*.py 1[1-5]/*.py; do
    [ -f "$file" ] && python3 -m py_compile "$file"
done
echo "stand-ins of the third review: ready"
