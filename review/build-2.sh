#!/bin/sh
# The scripts of this review start stand-ins of their own, which need no build. The routers that they start are the
# bundle of the deploy file; this builds it if the deploy file's build has not run.
set -e
cd "$(dirname "$0")/.."
[ -f target/jayrockd.mjs ] || npm run bundle
