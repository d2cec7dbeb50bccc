#!/usr/bin/env bash
# Builds the programs of the review's cases, with the project's stand-ins that they use, into
# review/dist. Needs the packages that the deploy file's build installs, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/[0-9]*/; do
  [ -f "${folder}case.ts" ] || continue
  number="$(basename "$folder")"
  node_modules/.bin/esbuild "${folder}case.ts" \
    --bundle --platform=node --target=node20 --format=esm --log-level=warning \
    --alias:@rackwalk/shared=./packages/shared/src/index.ts \
    --alias:@rackwalk/stand-ins=./packages/stand-ins/src/platform/memoryRowStore.ts \
    --outfile="review/dist/case-$number.mjs"
done
