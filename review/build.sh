#!/bin/sh
# Prepares the stand-ins of the cases. They are Python files that need only the
# standard library; this checks that they can be read on this machine. The
# programs under test are built as deploy/system.toml says.
set -eu
cd "$(dirname "$0")"
python3 - common/*.py [1-5]/*.py <<'EOF'
import sys
import tomllib  # Python 3.11 or newer

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} files of stand-ins and cases can be read")
EOF
