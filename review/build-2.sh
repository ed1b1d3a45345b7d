#!/usr/bin/env bash
# Prepares what the scripts of cases 6 to 10 start. Their stand-ins are Python
# programs, so that there is nothing to compile; this checks that they can be
# read and that the program under test has been built by the deploy file.
set -eu
cd "$(dirname "$0")"
for file in common-2/*.py 6/play.py 7/play.py 8/play.py 9/play.py 10/play.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
if [ ! -x ../target/platform/bramleypath-node ]; then
  echo "target/platform/bramleypath-node is missing; run the build of the deploy file first" >&2
  exit 1
fi
