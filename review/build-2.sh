#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10. They are Python modules
# that use the standard library only, so that building is a check that they compile.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for module in *.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$module"
done
