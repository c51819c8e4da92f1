#!/bin/sh
# Time to full service after balancers are killed, on real processes: bench/fleet/coming-back.sh [CORES] [CASE ...]
# CORES: such as 0-2; a CASE: BALANCERS:PART:warm|cold:LOAD:DISCOVERY, LOAD beside what warm hosts bear, DISCOVERY one call in so many.
# Prints a line a case. The program is built first: mvn -B -ntp -q -DskipTests package
set -eu
cd "$(dirname "$0")/../.."
cores=${1:-0-2}
[ $# -gt 0 ] && shift
[ $# -gt 0 ] || set -- 4:1.0:warm:0.4:1 16:0.25:warm:0.4:1 16:0.75:warm:0.4:1 16:1.0:warm:0.4:1 16:0.75:warm:0.8:1 \
    16:0.75:cold:0.3:1 16:1.0:cold:0.3:1 16:1.0:cold:0.3:5 48:0.75:warm:0.4:1 48:1.0:cold:0.3:1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cp lab/statements.toml "$folder/"
for one in "$@"; do
    IFS=: read -r balancers part heat load busy <<END
$one
END
    rate=$(awk "BEGIN { print 1280 * $load }")
    {
        printf 'name = "coming-back"\nproves = "what it measures"\napplication = "statements.toml"\nlength = "20s"\nsettle = "2s"\n'
        printf '[fleet]\nbalancers = %s\n[[hosts]]\ncount = 16\nslots = 2\nwork = "25ms"\nspread = 0.5\n' "$balancers"
        printf '[load]\nrate = %s\nkeys = 5000\nretries = 3\n' "$rate"
        printf '[[injuries]]\nat = "5s"\nwhat = "balancer-kill"\npart = %s\n' "$part"
        [ "$heat" = warm ] || printf '[[injuries]]\nat = "5s"\nwhat = "restart"\n'
        [ "$busy" = 1 ] || printf '[[injuries]]\nat = "5s"\nwhat = "discovery-busy"\nfactor = %s.0\n' "$busy"
    } > "$folder/case.toml"
    taskset -c "$cores" bin/stairshelf fleet run "$folder/case.toml" --table > "$folder/out.txt" || true
    awk -v case="$one" '
        / started again/ { again = $0 }
        /^full service|^not back/ { full = $0 }
        /^served/ { served = $2 }
        /^BROKEN/ { broken = $0 }
        $1 >= 5 && $1 < 10 && NF == 13 { sends5 += $8; room5 += $9; cold5 += $8 }
        $1 >= 6 && $1 < 15 && NF == 13 && $9 > 0 { ratio = $8 / $9; if (least == "" || ratio < least) least = ratio; if (ratio > most) most = ratio }
        $1 >= 5 && $1 < 15 && NF == 13 { asked += $2; good += $3; shut += $6; calls += $11 }
        END { printf "%-22s served %s, of the 10 s after %.3f, shut %d, calls %d | %s | %s", case, served, good / asked, shut, calls, again, full
              if (room5 > 0) printf " | cold sends beside room, first 5 s %.2f, windows from 1 s on %.2f to %.2f", cold5 / room5, least, most
              printf "%s\n", broken == "" ? "" : " | " broken }' "$folder/out.txt"
done
