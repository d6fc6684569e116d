#!/usr/bin/env bash
# Measures the control overhead of idle daemons: starts the stand-ins of a deployment and one daemon in
# each failure domain, and prints processor time, memory and TCP payload of each daemon over 10 s.
# Usage: bench/control-cost.sh DEPLOYMENT_FILE DOMAIN...   Needs curl, jq, ss, and a finished build.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=$1
shift
domains=("$@")
base_port=26300
folder=$(mktemp -d)
pids=()
daemons=()
finish() {
  for pid in "${daemons[@]}" "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${daemons[@]}" "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$folder"
}
trap finish EXIT
call() { curl --silent --show-error --fail --max-time 20 "$@"; }
wait_until() { until "$@" >/dev/null 2>&1; do sleep 0.2; done; }
platform=127.0.0.1:$base_port
workers=127.0.0.1:$((base_port + 1))
build/tests/standin_platform --listen "$platform" >"$folder/p.log" 2>&1 & pids+=($!)
build/tests/standin_workers --deployment "$deployment" --listen "$workers" >"$folder/w.log" 2>&1 & pids+=($!)
wait_until call "$platform/control/counters"
wait_until call "$workers/control/hosts"
call "$workers/control/hosts" | call --data @- "$platform/control/hosts" >/dev/null
peers=$(for n in "${!domains[@]}"; do echo "127.0.0.1:$((base_port + 20 + n))"; done | jq -R . | jq -s .)
for n in "${!domains[@]}"; do
  jq -n --arg domain "${domains[$n]}" --arg platform "$platform" --argjson peers "$peers" \
    --arg http "127.0.0.1:$((base_port + 10 + n))" --arg peer "127.0.0.1:$((base_port + 20 + n))" \
    --argjson domains "$(printf '%s\n' "${domains[@]}" | jq -R . | jq -s .)" '{
      daemon: ($domain + "-cost"), deployment: "bench", region: "bench", failure_domain: $domain,
      failure_domains: $domains, http_listen: $http, peer_listen: $peer, seeds: $peers,
      platform: {adapter: "http", endpoint: $platform}, tokens: {"t": "system"}}' >"$folder/d$n.json"
  build/packages/daemon/acaciadeald --settings "$folder/d$n.json" 2>"$folder/d$n.log" & daemons+=($!)
done
sleep 10 # exclude startup from the measurement
# ticks: processor time of a process in clock ticks. payload: TCP payload bytes of its connections.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
payload() {
  ss -tinpH | awk -v pid="pid=$1," '/users:/ {mine = index($0, pid) > 0}
    mine && match($0, /bytes_sent:[0-9]+/) {sum += substr($0, RSTART + 11, RLENGTH - 11)}
    mine && match($0, /bytes_received:[0-9]+/) {sum += substr($0, RSTART + 15, RLENGTH - 15)}
    END {print sum + 0}'
}
for n in "${!domains[@]}"; do
  before_ticks[n]=$(ticks "${daemons[$n]}")
  before_bytes[n]=$(payload "${daemons[$n]}")
done
sleep 10
echo "failure_domain hosts cpu_percent rss_mib tcp_bytes_per_second"
# At 100 clock ticks per second, the ticks of 10 s divided by 10 are percent of one core.
for n in "${!domains[@]}"; do
  pid=${daemons[$n]}
  hosts=$(call "127.0.0.1:$((base_port + 10 + n))/v1/status" \
    | jq "[.shards[] | select(.held) | .hosts] | add")
  cpu=$(( $(ticks "$pid") - before_ticks[n] ))
  bytes=$(( $(payload "$pid") - before_bytes[n] ))
  rss=$(awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$pid/status")
  echo "${domains[$n]} $hosts $(awk "BEGIN {print $cpu / 10}") $rss $((bytes / 10))"
done
