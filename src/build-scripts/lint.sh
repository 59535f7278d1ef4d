#!/usr/bin/env bash
# Checks the format of every source file and runs clang-tidy over every translation unit.
# clang-tidy results are kept by a hash of the preprocessed unit, so an unchanged unit costs one preprocessing.
set -euo pipefail

build_dir=$1
top=$(cd "$(dirname "$0")/../.." && pwd)
cd "$top"

mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h')
clang-format --dry-run --Werror "${sources[@]}"
echo "clang-format: ${#sources[@]} files clean"

cache=${XDG_CACHE_HOME:-$HOME/.cache}/corneltray-tidy
mkdir -p "$cache"
python3 src/build-scripts/tidy.py --build "$build_dir" --cache "$cache"
