#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules that need no build and no package; this checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins/*.mjs */case.mjs; do
  node --check "$file"
done
