#!/usr/bin/env bash
# Runs a case once without the disruption and N times with it: runs-2.sh CASE [N]
cd "$(dirname "$0")/$1"
TROUBLE=0 ./run.sh
echo "TROUBLE=0: exit $?"
for number in $(seq "${2:-5}"); do
  ./run.sh
  echo "run $number: exit $?"
done
