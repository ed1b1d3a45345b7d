#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need. Does
# nothing when all of them are already installed.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy make patch python3
  libasio-dev librestinio-dev libhttp-parser-dev libfmt-dev
  libwebsocketpp-dev libcurl4-openssl-dev nlohmann-json3-dev libvalijson-dev
  libmsgsl-dev libboost-dev liblog4cplus-dev libxxhash-dev zlib1g-dev
  libcppunit-dev librapidcheck-dev
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done

if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi

export DEBIAN_FRONTEND=noninteractive
log=$(mktemp)
trap 'rm -f "$log"' EXIT
echo "installing: ${missing[*]}"
if ! { apt-get update && apt-get install -y --no-install-recommends "${missing[@]}"; } >"$log" 2>&1; then
  tail -n 30 "$log" >&2
  exit 1
fi
