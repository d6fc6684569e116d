#!/usr/bin/env bash
# Compares the routing policies on real daemons: starts the stand-ins of the Merrimack deployment with
# every fifth instance slowed down, and one daemon in each failure domain; then runs the same open-loop
# load REPETITIONS times with each policy. Prints one line per run and request class.
# Usage: bench/compare-routing.sh [REPETITIONS]   Needs curl and jq, and a finished build.
set -euo pipefail
cd "$(dirname "$0")/.."
repetitions=${1:-3}
build=build
base_port=26100
scenario=bench/scenarios/routing-comparison.json
deployment=tests/standins/deployments/merrimack.json
domains=(lowell-yard worcester-depot providence-shed)
policies=(random least-loaded two-choices)
folder=$(mktemp -d)
pids=()
stop_daemons() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
standins=()
finish() {
  stop_daemons
  for pid in "${standins[@]}"; do kill "$pid" 2>/dev/null || true; done
  rm -rf "$folder"
}
trap finish EXIT
call() { curl --silent --show-error --fail --max-time 20 "$@"; }
wait_until() { until "$@" >/dev/null 2>&1; do sleep 0.2; done; }

platform=127.0.0.1:$base_port
workers=127.0.0.1:$((base_port + 1))
"$build/tests/standin_platform" --listen "$platform" >"$folder/platform.log" 2>&1 & standins+=($!)
"$build/tests/standin_workers" --deployment "$deployment" --listen "$workers" \
  >"$folder/workers.log" 2>&1 & standins+=($!)
wait_until call "$platform/control/counters"
wait_until call "$workers/control/hosts"
call "$workers/control/hosts" | call --data @- "$platform/control/hosts" >/dev/null
slow=$(call "$workers/control/hosts" \
  | jq -c '[.hosts[] | select(.service != "") | .host] | [to_entries[] | select(.key % 5 == 0) | .value]')
call --data '{"hosts":[],"service_ms":100}' "$workers/control/host" >/dev/null
call --data "{\"hosts\":$slow,\"service_ms\":400}" "$workers/control/host" >/dev/null

start_daemons() {
  local n
  for n in 0 1 2; do
    jq -n --arg domain "${domains[$n]}" --arg policy "$1" --arg platform "$platform" \
      --arg http "127.0.0.1:$((base_port + 10 + n))" --arg peer "127.0.0.1:$((base_port + 20 + n))" \
      --argjson domains "$(printf '%s\n' "${domains[@]}" | jq -R . | jq -s .)" '{
        daemon: ($domain + "-" + $policy), deployment: "bench", region: "new-england",
        failure_domain: $domain, failure_domains: $domains, http_listen: $http, peer_listen: $peer,
        seeds: [], platform: {adapter: "http", endpoint: $platform}, routing_policy: $policy,
        tokens: {"t": "system"}}' >"$folder/daemon$n.json"
    "$build/packages/daemon/acaciadeald" --settings "$folder/daemon$n.json" 2>"$folder/daemon$n.log" &
    pids+=($!)
  done
  for n in 0 1 2; do
    wait_until call "127.0.0.1:$((base_port + 10 + n))/v1/requests" --data "{\"id\":\"probe-$1-$n-$RANDOM\",
      \"tenant\":\"crews\",\"class\":\"urgent\",\"service\":\"inspection-results\",
      \"repeatable\":true,\"timeout_ms\":5000,\"body\":\"probe\"}"
  done
}
for ((r = 1; r <= repetitions; r++)); do
  for policy in "${policies[@]}"; do
    start_daemons "$policy"
    "$build/bench/load/request_load" "$scenario" "$folder/result.json" >/dev/null
    jq -r --arg policy "$policy" --arg r "$r" '.classes[] | [$r, $policy, .class, .sent, .answered,
      (.latency_us | .p50, .p90, .p99, .max)] | map(tostring) | join("\t")' "$folder/result.json" \
      || cat "$folder/result.json"
    stop_daemons
  done
done
