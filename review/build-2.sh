#!/usr/bin/env bash
# Checks what the scripts of the second review start: their stand-ins are plain JavaScript and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/baobabpier.cjs || { echo 'run the build of deploy/system.toml first' >&2; exit 2; }
for file in review/stand-ins-2/*.mjs review/*/case.mjs; do
	node --check "$file"
done
