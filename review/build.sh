#!/bin/sh
# Compile the stand-ins that the scripts start, the project's own too. They use the libraries that
# deploy/build.sh has put into target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD:$PWD/target/deps" python3 -m compileall -q review standins tools/processes.py
PYTHONPATH="$PWD:$PWD/target/deps" python3 -c "import review.harness"
