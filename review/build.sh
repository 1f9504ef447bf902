#!/bin/sh
# Builds the stand-ins that the scripts start, the project's own too, into
# target/review. Nothing is downloaded: the libraries are those that the build
# of the deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -R packages/standins/src/verbenahall_standins target/review/
cp review/harness.py review/store.py review/workers.py target/review/
PYTHONPATH=target/deps:target/review python3 -m compileall -q target/review
