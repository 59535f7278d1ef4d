#!/usr/bin/env bash
# Model-checks the specifications in this folder with spin and gcc. Each run of the table is either
# expected to hold, or to be rejected: the BROKEN_ variants leave out one rule, and the REACH_
# variants assert that a situation is never reached, which shows that the model gets there.
# The last line is "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")"
out=$PWD/out
mkdir -p "$out"

runs=(
  "log       holds     -DMAX_LOSSES=0 -DMAX_TERM=4 -DMAX_LOG=3"
  "log       holds     -DMAX_LOSSES=1 -DMAX_TERM=3 -DMAX_LOG=4"
  "log       rejected  -DMAX_LOSSES=0 -DMAX_TERM=4 -DMAX_LOG=3 -DBROKEN_OLD_TERM_COMMIT"
  "log       rejected  -DMAX_LOSSES=1 -DMAX_TERM=3 -DMAX_LOG=4 -DBROKEN_LOST_DISK_VOTES"
  "log       rejected  -DMAX_LOSSES=1 -DMAX_TERM=3 -DMAX_LOG=4 -DBROKEN_CHANGE_BEFORE_COMMIT"
  "log       rejected  -DMAX_LOSSES=1 -DMAX_TERM=3 -DMAX_LOG=4 -DREACH_REPLACEMENT"
  "booking   holds     "
  "booking   rejected  -DBROKEN_SEND_BEFORE_DURABLE"
  "booking   rejected  -DBROKEN_NOT_RUN_AFTER_LOOKUP"
  "booking   rejected  -DBROKEN_RETRY_SENDS"
  "booking   rejected  -DREACH_DONE_BY_LOOKUP"
)
jobs_at_once=3
run_timeout_s=110

# Builds and runs one row of the table. Writes one line with the verdict to its folder.
run_one() {
  local number=$1 model=$2 expected=$3
  shift 3
  local folder=$out/run-$number
  rm -rf "$folder"
  mkdir -p "$folder"
  cd "$folder" || return
  local name="$model $*"
  if ! spin -a "$@" "../../$model.pml" >spin.txt 2>&1 ||
    ! gcc -O2 -w -DSAFETY -DNOREDUCE -DCOLLAPSE -DVECTORSZ=4096 -o pan pan.c >gcc.txt 2>&1; then
    echo "FAILED ($name): does not build: $(cat spin.txt gcc.txt 2>/dev/null | head -3)" >verdict
    return
  fi
  timeout "$run_timeout_s" ./pan -m2000000 -w24 >pan.txt 2>&1
  local errors states found
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.txt)
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.txt)
  found=$(sed -n 's/^pan:1: \(.*\) (at depth.*/\1/p' pan.txt)
  local complete=yes
  grep -qE "max search depth too small|Search not completed" pan.txt && complete=no
  if [ "$expected" = holds ] && [ "$errors" = 0 ] && [ "$complete" = yes ]; then
    echo "passed ($name): holds, $states states" >verdict
  elif [ "$expected" = rejected ] && [ "${errors:-0}" -gt 0 ] && [[ $found == *assert* ]]; then
    echo "passed ($name): rejected after $states states: $found" >verdict
  else
    echo "FAILED ($name): expected $expected; errors ${errors:-none}, states ${states:-none}," \
      "complete $complete, $found" >verdict
  fi
}

for number in "${!runs[@]}"; do
  read -r -a row <<<"${runs[$number]}"
  run_one "$number" "${row[@]}" &
  while [ "$(jobs -rp | wc -l)" -ge "$jobs_at_once" ]; do wait -n; done
done
wait

passed=0
failed=0
for number in "${!runs[@]}"; do
  verdict=$(cat "$out/run-$number/verdict" 2>/dev/null || echo "FAILED (run $number): no verdict")
  echo "$verdict"
  if [[ $verdict == passed* ]]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
