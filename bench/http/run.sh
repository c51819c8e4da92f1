#!/usr/bin/env bash
# Hits of 1 KB and 64 KB and misses through nginx, Varnish and a sidecar, each on one core, by turns in one run: requests a
# second and p99, and their ratios to nginx. Needs nginx, varnish and wrk of Debian, and the built jar.
#   bench/http/run.sh [ROUNDS] [SECONDS] [WARM]     cores: PROXY_CPU (3), ORIGIN_CPU (4), LOAD_CPUS (5,6)
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
rounds=${1:-3}
seconds=${2:-5}
warm=${3:-15}
proxy=${PROXY_CPU:-3}
origin=${ORIGIN_CPU:-4}
load=${LOAD_CPUS:-5,6}
# In memory: the file system of the cache is not what is compared.
work=$(mktemp -d -p /dev/shm)
mkdir -p "$work/files/hit" "$work/tmp" "$work/cache"
head -c 1024 /dev/urandom | base64 -w0 | head -c 1024 > "$work/files/hit/1k"
head -c 65536 /dev/urandom | base64 -w0 | head -c 65536 > "$work/files/hit/64k"
chmod -R a+rwX "$work"
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$work"' EXIT
taskset -c "$origin" nginx -p "$work" -c "$here/origin.conf" & pids+=($!)
# The sidecar wants two hosts; the second address leads to the same origin.
sed "s/listen 127.0.0.1:18080/listen 127.0.0.2:18080/; s/origin.pid/origin2.pid/" "$here/origin.conf" > "$work/origin2.conf"
taskset -c "$origin" nginx -p "$work" -c "$work/origin2.conf" & pids+=($!)
taskset -c "$proxy" nginx -p "$work" -c "$here/nginx.conf" & pids+=($!)
taskset -c "$proxy" varnishd -F -n "$work/varnish" -a 127.0.0.1:18082 -f "$here/default.vcl" -s malloc,64m \
    -p thread_pools=1 -p thread_pool_min=100 > "$work/varnish.log" 2>&1 & pids+=($!)
taskset -c "$proxy" java ${JVM_FLAGS:--XX:+UseSerialGC -Xms256m -Xmx256m -Xmn128m} -XX:ActiveProcessorCount=1 \
    -cp "$root/target/eiderscale.jar" eiderscale.cli.Stairshelf sidecar "$here/sidecar.toml" > "$work/sidecar.log" 2>&1 & pids+=($!)
for port in 18081 18082 18083; do
    for i in $(seq 100); do curl -sf -o /dev/null "http://127.0.0.1:$port/hit/1k" && break; sleep 0.2; done
    curl -sf -o /dev/null "http://127.0.0.1:$port/hit/64k"
done
names=(nginx varnish stairshelf)
measure() { # kind, name, port
    case $1 in
        hit-1k) args=(-c 64 "http://127.0.0.1:$3/hit/1k") ;;
        hit-64k) args=(-c 64 "http://127.0.0.1:$3/hit/64k") ;;
        miss-1k) args=(-c 32 -s "$here/misses.lua" "http://127.0.0.1:$3/") ;;
    esac
    taskset -c "$load" wrk -t2 -d "${seconds}s" --latency "${args[@]}" | awk -v k="$1" -v n="$2" '
        $1 == "99%" { p = $2 } $1 == "Requests/sec:" { r = $2 } /Non-2xx/ { bad = $NF } /Socket errors/ { bad = bad " " $0 }
        END { m = p ~ /us$/ ? 0.001 : p ~ /ms$/ ? 1 : 1000; sub(/[a-z]+$/, "", p); print k, n, r, p * m, bad }'
}
for kind in hit-1k hit-64k miss-1k; do
    # A JVM is measured warm: WARM seconds of each kind are thrown away for all three.
    for i in 0 1 2; do seconds=$warm measure $kind "${names[$i]}" $((18081 + i)) > /dev/null; done
    for round in $(seq "$rounds"); do
        for i in 0 1 2; do measure $kind "${names[$i]}" $((18081 + i)); done
    done
done | tee "$work/all"
echo
awk '{ r[$1 " " $2] = r[$1 " " $2] " " $3; p[$1 " " $2] = p[$1 " " $2] " " $4; kinds[$1] }
    function median(list,  a, n, i, j, t) { n = split(list, a, " "); for (i = 1; i <= n; i++) for (j = i + 1; j <= n; j++)
        if (a[j] + 0 < a[i] + 0) { t = a[i]; a[i] = a[j]; a[j] = t } return a[int((n + 1) / 2)] }
    END { for (k in kinds) for (i = 1; i <= 3; i++) { n = i == 1 ? "nginx" : i == 2 ? "varnish" : "stairshelf";
        printf "%s %-10s %8.0f requests/s (%.2f of nginx)  p99 %.2f ms (%.2f)\n", k, n, median(r[k " " n]),
            median(r[k " " n]) / median(r[k " nginx"]), median(p[k " " n]), median(p[k " " n]) / median(p[k " nginx"]) } }' \
    "$work/all" | sort
