#!/usr/bin/env bash
# Runs clang-tidy on every source file of the build and remembers clean results.
# usage: lint.sh BUILD_DIR JOBS
# A result is reused while the preprocessed source and the settings are the same.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=$1
jobs=$2

python3 scripts/lint.py --build-dir "$build_dir" --jobs "$jobs"
