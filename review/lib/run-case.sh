# Sourced by each run.sh, with the class of its test: runs it from the project's root. Exits with 0, 1 or 2.
run_case() {
    folder=$(cd "$(dirname "$0")" && pwd)
    root=$(cd "$folder/../.." && pwd)
    if [ ! -d "$root/review/target/classes" ] || [ ! -f "$root/target/eiderscale.jar" ]; then
        echo "not built: run the build of deploy/balancer.toml and review/build.sh first" >&2
        exit 2
    fi
    cd "$root" || exit 2
    timeout -k 5 115 java -Xmx1g -Djava.net.preferIPv4Stack=true -cp review/target/classes "$1" "$folder"
    code=$?
    # A JVM that fails by itself ends with 1: the test says 10 for a broken rule.
    case $code in
        0) exit 0 ;;
        10) exit 1 ;;
        *) exit 2 ;;
    esac
}
