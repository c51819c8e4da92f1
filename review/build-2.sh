#!/bin/sh
# Builds what the scripts of the second review start: their clients, hosts and discovery. Run after the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
exec javac -encoding UTF-8 --release 17 -Xlint:all -Werror -d target/review-2 review/lib-2/*.java
