#!/bin/sh
# Compiles the stand-ins and the tests of the review into review/target. Needs a JDK 17 and nothing else.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
find lib [1-9] -name '*.java' > target/sources
javac --release 17 -encoding UTF-8 -Xlint:all -d target/classes @target/sources
echo "review: stand-ins and tests are in review/target/classes"
