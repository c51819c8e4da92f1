#!/bin/bash
# How soon N sidecars' processes agree on who is there: all at once, after one crash, after one stood still, after seven in ten were
# killed and came back. bench/fleet/members.sh [N]; built first: mvn -B -ntp -q -DskipTests package
set -eu
cd "$(dirname "$0")/../.."
n=${1:-48}
folder=$(mktemp -d)
declare -a pid control listen
trap 'kill -9 "${pid[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$folder"' EXIT

# begin NUMBER PORT: 0 for any
begin() {
    local i=$1
    cat > "$folder/$i.toml" <<END
application = "members"
listen = ["127.0.0.1:0"]
[operators]
control = "127.0.0.1:0"
[state]
folder = "state$i"
[members]
listen = "127.0.0.1:$2"
name = "m$i"
$([ -z "${listen[0]:-}" ] || echo "seeds = [\"127.0.0.1:${listen[0]}\", \"127.0.0.1:${listen[$((n - 1))]:-${listen[0]}}\"]")
[pool]
kind = "meta"
source = "static"
hosts = ["127.0.0.1:9"]
[[classes]]
name = "read"
operation = "read"
effect = "safe"
aim = "500ms"
deadline = "1s"
END
    java -XX:TieredStopAtLevel=1 -XX:+UseSerialGC -Xmx48m -cp target/eiderscale.jar eiderscale.cli.Stairshelf sidecar "$folder/$i.toml" 2> "$folder/$i.log" &
    pid[$i]=$!
}

# ready NUMBER: its ports, once it has told them
ready() {
    local i=$1
    for _ in $(seq 600); do
        listen[$i]=$(sed -n 's/.* listens on 127.0.0.1:\([0-9]*\)$/\1/p' "$folder/$i.log" | tail -1)
        control[$i]=$(sed -n 's/.*operators call 127.0.0.1:\([0-9]*\)$/\1/p' "$folder/$i.log" | tail -1)
        [ -n "${listen[$i]}" ] && [ -n "${control[$i]}" ] && return
        sleep 0.1
    done
    echo "$0: $i does not start:" >&2; cat "$folder/$i.log" >&2; exit 1
}

# here NUMBER: how many it holds for there
here() {
    exec 3<>"/dev/tcp/127.0.0.1/${control[$1]}"
    printf 'MEMBERS\n' >&3
    local answer; read -r -t 5 answer <&3 || answer=
    exec 3>&-
    answer=${answer#* here }; echo "${answer%% *}"
}

# agree COUNT WHAT NUMBER...: until each of these holds COUNT for there
agree() {
    local count=$1 what=$2 begun now i left; shift 2
    begun=$(date +%s%N); left=("$@")
    while [ ${#left[@]} -gt 0 ]; do
        local still=()
        for i in "${left[@]}"; do [ "$(here "$i")" = "$count" ] || still+=("$i"); done
        left=("${still[@]:+${still[@]}}"); [ -n "${left[0]:-}" ] || left=()
        now=$(date +%s%N)
        [ $((now - begun)) -lt 90000000000 ] || { echo "$what: ${#left[@]} do not agree after 90 s"; return; }
        sleep 0.1
    done
    echo "$what: all agree after $(((now - begun) / 1000000)) ms"
}

begin 0 0; ready 0
for i in $(seq 1 $((n - 1))); do begin "$i" 0; done
for i in $(seq 1 $((n - 1))); do ready "$i"; done
all=$(seq 0 $((n - 1)))
agree "$n" "$n processes, from when the last listens" $all
sleep 3
one=$((n / 2))
kill -9 "${pid[$one]}"
agree $((n - 1)) "one killed" $(for i in $all; do [ "$i" = $one ] || echo "$i"; done)
begin "$one" "${listen[$one]}"; ready "$one"
agree "$n" "it came back" $all
kill -STOP "${pid[$one]}"
agree $((n - 1)) "one stands still" $(for i in $all; do [ "$i" = $one ] || echo "$i"; done)
sleep 5
kill -CONT "${pid[$one]}"
agree "$n" "it goes on" $all
dead=$(for i in $all; do [ $((i % 10)) -ge 7 ] || [ "$i" = 0 ] || echo "$i"; done)
for i in $dead; do kill -9 "${pid[$i]}"; done
for i in $dead; do wait "${pid[$i]}" 2>/dev/null || true; begin "$i" "${listen[$i]}"; done
sleep 1
for i in $dead; do ready "$i"; done
agree "$n" "seven in ten killed at once and back under their names, from when the last listens" $all
