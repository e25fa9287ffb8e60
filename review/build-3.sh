#!/bin/sh
# Builds the packages and the stand-ins that the scripts of the cases from 11 on start.
cd "$(dirname "$0")/.." || exit 2
exec npx tsc -b
