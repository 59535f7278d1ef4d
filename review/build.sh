#!/usr/bin/env bash
# The stand-ins of the cases are the Python ones of testsuite/ and of the cases: there is nothing to compile. Checks that
# they can be loaded.
set -eu
cd "$(dirname "$0")/.."
for file in review/common/*.py review/[1-5]/*.py review/displaced/*.py testsuite/harness.py testsuite/platform/fleet.py testsuite/platform/replicas.py; do
  [ -f "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
