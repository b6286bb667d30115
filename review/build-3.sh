#!/usr/bin/env bash
# Builds what the cases 9 to 13 start: the program, as the deploy file does. Their stand-ins need no build; they are only checked.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent
[ -f target/stairline.cjs ] || node scripts/bundle.mjs target --max-old-space-size=160
for file in review/tools-3/*.mjs; do
  node --check "$file"
done
