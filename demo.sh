#!/usr/bin/env bash
# Demonstrates a small deployment: starts the platform and worker stand-ins and one daemon in each
# failure domain of tests/standins/deployments/small.json, sends a wear-scan request, runs a batch
# task, changes a setting, and stops everything again. Builds nothing; run ./test.sh first.
# Usage: ./demo.sh [BUILD_FOLDER]
# The ports DEMO_PORT (default 24100) to DEMO_PORT + 22 of 127.0.0.1 must be free.
set -euo pipefail
cd "$(dirname "$0")"
build=${1:-build}
port=${DEMO_PORT:-24100}
deployment=tests/standins/deployments/small.json
domains=(lowell-yard worcester-depot providence-shed)
limit_s=120 # timeout of each wait; only reached if something hangs

for tool in curl jq; do
  command -v "$tool" >/dev/null || { echo "demo.sh needs $tool" >&2; exit 1; }
done
daemon_program=$build/packages/daemon/acaciadeald
for program in "$daemon_program" "$build/tests/standin_platform" "$build/tests/standin_workers"; do
  [ -x "$program" ] || { echo "$program is missing; run ./test.sh first" >&2; exit 1; }
done

folder=$(mktemp -d)
pids=()
stop_all() {
  local status=$?
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" != 0 ]; then
    tail -n 20 "$folder"/*.log >&2 || true
  fi
  rm -rf "$folder"
  exit "$status"
}
trap stop_all EXIT

call() {
  curl --silent --show-error --fail-with-body --max-time 20 "$@"
}
wait_until() {
  local what=$1
  shift
  SECONDS=0
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -gt "$limit_s" ]; then
      echo "timed out after $limit_s s while waiting until $what" >&2
      exit 1
    fi
    sleep 0.2
  done
}
start() {
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  pids+=($!)
}
http_endpoint() { echo "127.0.0.1:$((port + 10 + $1))"; }
peer_endpoint() { echo "127.0.0.1:$((port + 20 + $1))"; }

echo "== Starting the platform, the workers and three daemons"
platform=127.0.0.1:$port
workers=127.0.0.1:$((port + 1))
start platform "$build/tests/standin_platform" --listen "$platform"
start workers "$build/tests/standin_workers" --deployment "$deployment" --listen "$workers"
wait_until "the platform listens" call "$platform/control/counters"
wait_until "the workers listen" call "$workers/control/hosts"
call "$workers/control/hosts" | call --data @- "$platform/control/hosts" >/dev/null

for n in 0 1 2; do
  jq -n --arg domain "${domains[$n]}" --arg http "$(http_endpoint $n)" \
    --arg peer "$(peer_endpoint $n)" --arg platform "$platform" \
    --argjson seeds \
    "$(for m in 0 1 2; do [ $m = $n ] || peer_endpoint $m; done | jq -R . | jq -s .)" \
    --argjson domains "$(printf '%s\n' "${domains[@]}" | jq -R . | jq -s .)" '{
      daemon: ($domain + "-d1"), deployment: "demo", region: "new-england",
      failure_domain: $domain, failure_domains: $domains,
      http_listen: $http, peer_listen: $peer, seeds: $seeds,
      platform: {adapter: "http", endpoint: $platform, timeout_ms: 3000},
      tokens: {"demo-token": "system"}
    }' >"$folder/daemon$n.json"
  start "daemon$n" "$daemon_program" --settings "$folder/daemon$n.json"
done
all_ready() {
  local n
  for n in 0 1 2; do
    call "$(http_endpoint $n)/v1/status" | jq -e '.members == 3' >/dev/null || return 1
    call "$(http_endpoint $n)/v1/status" \
      | jq -e --arg shard "${domains[$n]}" '.shards[] | select(.shard == $shard) | .held' \
        >/dev/null || return 1
  done
}
wait_until "every daemon holds its shard" all_ready
call "$(http_endpoint 0)/v1/status" | jq -c '.shards[] | {shard, holder, epoch}'

echo "== Sending a wear-scan request"
wear_scan() {
  call "$(http_endpoint 0)/v1/requests" --header 'content-type: application/json' --data '{
    "id": "wear-scan-1", "tenant": "crew-7", "class": "urgent", "service": "inspection-results",
    "repeatable": true, "timeout_ms": 6000, "body": "span 14 of the Lowell line"}'
}
wait_until "the instances are known" wear_scan
wear_scan
echo

echo "== Submitting a batch task and waiting until it is finished"
call "$(http_endpoint 1)/v1/jobs" --header 'content-type: application/json' --data '{
  "job": "report-1", "team": "reports", "tasks": [{"task": "report-1-a", "class": "batch",
  "milli_cores": 2000, "memory_mib": 4000, "accelerators": 0, "expected_run_ms": 1000,
  "deadline_ms": 60000, "payload": "{\"run_ms\":1000,\"checkpoint\":true}"}]}'
echo
task_finished() {
  call "$(http_endpoint 2)/v1/tasks/report-1-a" | jq -e '.state == "finished"'
}
wait_until "the task is finished" task_finished
call "$(http_endpoint 2)/v1/tasks/report-1-a"
echo

echo "== Changing a setting and reading its version on each daemon"
call --request PUT "$(http_endpoint 2)/v1/settings/system/drain_rate" \
  --header 'authorization: Bearer demo-token' --header 'x-request-id: demo-1' \
  --header 'if-version: 0' --data 40
echo
setting_in_force() {
  local n
  for n in 0 1 2; do
    call "$(http_endpoint $n)/v1/status" | jq -e '.settings_version >= 1' >/dev/null || return 1
  done
}
wait_until "the setting is in force everywhere" setting_in_force
for n in 0 1 2; do
  call "$(http_endpoint $n)/v1/status" | jq -c '{daemon, settings_version}'
  call "$(http_endpoint $n)/v1/settings/system/drain_rate" \
    --header 'authorization: Bearer demo-token'
  echo
done

echo "== Stopping everything"
