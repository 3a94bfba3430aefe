#!/bin/sh
# Build every stand-in that the scripts of the second review start, the project's own too.
# Run it after the build of the deploy file, whose libraries the stand-ins use.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r standins target/review-2/
cp review/rig_2.py target/review-2/
find target/review-2 -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/review-2
