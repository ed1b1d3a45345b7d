#!/bin/sh
cd "$(dirname "$0")" || exit 2
exec sh ../common/run.sh "$PWD"
