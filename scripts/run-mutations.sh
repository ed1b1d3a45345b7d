#!/usr/bin/env bash
# Applies each patch under tests/mutations/ in turn to a copy of the source tree
# and expects the test that it names to fail. A patch starts with lines of the
# form
#   # rule: 2
#   # test: test_cell [suite or test]
# usage: run-mutations.sh [name ...]
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$copy"
export CCACHE_BASEDIR=$copy CCACHE_NOHASHDIR=1

# is_named NAME LIST...: succeeds when the list contains the name.
is_named() {
  local name=$1 candidate
  shift
  for candidate in "$@"; do
    [ "$candidate" = "$name" ] && return 0
  done
  return 1
}

passed=0
failed=0
for patch in "$root"/tests/mutations/*.patch; do
  name=$(basename "$patch" .patch)
  if [ $# -gt 0 ] && ! is_named "$name" "$@"; then
    continue
  fi
  read -r test filter < <(sed -n 's/^# test: //p' "$patch")
  cd "$copy"
  if ! patch -p1 -s <"$patch"; then
    echo "mutation $name: the patch no longer applies"
    failed=$((failed + 1))
    continue
  fi
  cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
  if ! cmake --build build --target "$test" >build.log 2>&1; then
    tail -n 20 build.log
    echo "mutation $name: does not compile"
    failed=$((failed + 1))
    patch -p1 -s -R <"$patch"
    continue
  fi
  program=$(find build/tests -name "$test" -type f)
  if RC_PARAMS="seed=1 noshrink=1" timeout 300 "$program" ${filter:+"$filter"} >run.log 2>&1; then
    echo "mutation $name: NOT detected by $test"
    failed=$((failed + 1))
  else
    echo "mutation $name: detected by $test"
    passed=$((passed + 1))
  fi
  patch -p1 -s -R <"$patch"
done
echo "mutations: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
