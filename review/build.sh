#!/usr/bin/env bash
# Copies the project's own stand-ins, which the scripts of the cases start, to target/review.
# To be run after the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -r packages/standins/src/fireflylink_standins target/review/
python3 -m compileall -q target/review
