#!/bin/sh
# Hard cases of a mass restart on real processes, 16 balancers before 16 hosts: bench/fleet/hard.sh [CORES] [CASE ...]
# CASE: one of the names below, all of them without. Prints a line a case. Built first: mvn -B -ntp -q -DskipTests package
set -eu
cd "$(dirname "$0")/../.."
cores=${1:-0-3}
[ $# -gt 0 ] && shift
[ $# -gt 0 ] || set -- again loop silent release hot bad stop gone
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cp lab/statements.toml "$folder/"

# injury AT WHAT [KEY = VALUE ...]
injury() {
    printf '[[injuries]]\nat = "%s"\nwhat = "%s"\n' "$1" "$2"
    shift 2
    for one in "$@"; do printf '%s\n' "$one"; done
}

for one in "$@"; do
    length=20s
    rate=380
    hot=
    case $one in
        again) injuries=$(injury 5s balancer-kill 'part = 1.0'; injury 5s restart; injury 7s balancer-kill 'part = 0.75') ;;
        loop) injuries=$(for at in 5s 7s 9s 11s 13s; do injury $at balancer-kill 'part = 0.2'; done) ;;
        silent) length=45s; injuries=$(injury 4900ms discovery-down 'for = "30s"'; injury 5s balancer-kill 'part = 1.0') ;;
        release) injuries=$(injury 5s balancer-kill 'part = 1.0'; injury 5s restart; injury 5s surge 'factor = 1.5' 'for = "15s"') ;;
        hot) hot='hot = 0.3'; injuries=$(injury 5s balancer-kill 'part = 1.0'; injury 5s restart) ;;
        bad) injuries=$(injury 5s balancer-kill 'part = 1.0' 'for = "1s"'; injury 5200ms drain 'part = 0.5'
                injury 5s half 'hosts = "host-14"' 'for = "15s"'; injury 5s half 'hosts = "host-15"' 'for = "15s"') ;;
        stop) length=30s; injuries=$(injury 5s balancer-stall 'part = 0.5' 'for = "10s"'; injury 7s drain 'hosts = "host-0"'
                injury 9s drain 'hosts = "host-1"') ;;
        gone) injuries=$(injury 5s balancer-gone 'part = 0.25'; injury 5s restart 'part = 0.25') ;;
        *) echo "$0: $one is none of: again loop silent release hot bad stop gone" >&2; exit 2 ;;
    esac
    {
        printf 'name = "hard"\nproves = "what it measures"\napplication = "statements.toml"\nlength = "%s"\nsettle = "2s"\n' "$length"
        printf '[discovery]\ncall = "20ms"\n[fleet]\nbalancers = 16\n[[hosts]]\ncount = 16\nslots = 2\nwork = "25ms"\nspread = 0.5\n'
        printf '[load]\nrate = %s.0\nkeys = 5000\nretries = 3\n%s\n%s\n' "$rate" "$hot" "$injuries"
    } > "$folder/case.toml"
    taskset -c "$cores" bin/stairshelf fleet run "$folder/case.toml" --table > "$folder/out.txt" || true
    awk -v case="$one" '
        /started again/ { again = $0 }
        /^full service|^not back/ { full = $0 }
        /^served/ { served = $2 }
        /after their client/ { vain = " | " $1 " in vain" }
        /longer than the grace/ { stale = " | " $1 " INTO DRAINS" }
        /^BROKEN/ { broken = " | " $0 }
        /^all rules held/ { held = "rules held" }
        END { printf "%-8s served %s | %s | %s%s%s | %s%s\n", case, served, again, full, vain, stale, held, broken }' "$folder/out.txt"
done
