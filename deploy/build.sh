#!/bin/sh
# Install the libraries and compile everything, so that a start neither parses nor compiles. Without
# docstrings (-OO) a process takes less memory. At the end all modules of a start go into one file.
set -e
if ! { [ target/deps -nt requirements/platform.txt ] && [ target/deps -nt deploy/build.sh ]; }; then
    python3 -m pip install -q -U --target target/deps -r requirements/platform.txt
    python3 -OO -m compileall -q -f --invalidation-mode unchecked-hash target/deps
    touch target/deps
fi
rm -rf target/app target/modules
mkdir -p target/app
cp -r src/waxwingshelf target/app/
find target/app -name __pycache__ -prune -exec rm -rf {} +
python3 -OO -m compileall -q -f --invalidation-mode unchecked-hash target/app
PYTHONPATH=target/deps python3 -S -OO deploy/archive.py target/modules
