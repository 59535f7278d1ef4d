#!/usr/bin/env bash
# Model-checks each specification under spec/. A file NAME_broken_*.pml has to be rejected.
set -uo pipefail
cd "$(dirname "$0")"
passed=0
failed=0
mkdir -p out
shopt -s nullglob
for model in *.pml; do
  echo "no rule for $model"
  failed=$((failed + 1))
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
