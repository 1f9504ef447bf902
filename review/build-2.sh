#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, the
# project's own too, into target/review-2. Nothing is downloaded: the libraries
# are those that the build of the deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -R packages/standins/src/verbenahall_standins target/review-2/
cp review/harness.py review/leaving.py target/review-2/
PYTHONPATH=target/deps:target/review-2 python3 -m compileall -q target/review-2
