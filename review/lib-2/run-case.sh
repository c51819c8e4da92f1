#!/bin/sh
# Runs one case of the second review, given its number: 1 if its rule was broken, 0 if it held, 2 if the case could not run.
number=$1
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/eiderscale.jar ] || [ ! -f "target/review-2/Case$number.class" ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp target/review-2 "Case$number" "review/$number" &
child=$!
trap 'kill "$child" 2>/dev/null' INT TERM
wait "$child"
# The case ends with 10 or 11, so that a Java that fails by itself, which ends with 1, is not taken for a broken rule.
case $? in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
