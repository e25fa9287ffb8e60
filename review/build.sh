#!/bin/sh
# Builds what the scripts of the cases start beside the product: the project's stand-ins, with what they need.
set -e
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --no-progress
npx tsc -b packages-private/stand-ins
