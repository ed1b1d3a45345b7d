#!/usr/bin/env bash
# Formats all C++ files. With --check, changes nothing and fails when a file is
# not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | sort -u)
existing=()
for file in "${files[@]}"; do
  [ -f "$file" ] && existing+=("$file")
done
if [ "${#existing[@]}" -eq 0 ]; then
  exit 0
fi

if [ "${1:-}" = "--check" ]; then
  printf '%s\0' "${existing[@]}" | xargs -0 -n 16 -P 8 clang-format --dry-run --Werror
else
  printf '%s\0' "${existing[@]}" | xargs -0 -n 16 -P 8 clang-format -i
fi
