#!/usr/bin/env bash
# Checks the stand-ins and the scripts, which are plain modules and need no compiler. The programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [1-5]/*.mjs; do
	node --check "$file"
done
