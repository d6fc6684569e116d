#!/usr/bin/env bash
# Runs Spin on the full models, on variants that each leave out one safety check (WITHOUT_*), and on
# witnesses, whose assertion fails when a wanted state is reached. A full model must have no error;
# each variant and each witness must violate an assertion. No search may end early for another
# reason, such as a limit on depth, memory or time.
# Usage: model/check.sh [JOBS]   Needs spin and gcc. Writes to a temporary directory.
set -euo pipefail
cd "$(dirname "$0")"
jobs=${1:-$(nproc)}
source_dir=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export source_dir work

# Bounds of each scope; model/README.md describes what each scope covers.
takeover_messages="-DMAX_TIME=0 -DMAX_FAULTS=1"
takeover_time="-DSTART_WINDOW=0 -DLEASE=1 -DOUTAGE_LEASE=2 -DAUTONOMY=2 -DMAX_TIME=3 -DMAX_FAULTS=0 -DOUTAGE"
takeover_lease_bound="-DSTART_WINDOW=1 -DLEASE=1 -DOUTAGE_LEASE=2 -DAUTONOMY=1 -DMAX_TIME=2 -DMAX_FAULTS=0 -DOUTAGE"
takeover_messages_and_time="-DSTART_WINDOW=0 -DLEASE=1 -DOUTAGE_LEASE=1 -DAUTONOMY=1 -DMAX_TIME=1 -DMAX_FAULTS=1"
takeover_domain_out="$takeover_messages_and_time -DMAX_DOMAIN=1"
failure_domain="-DMAX_EPOCH=1 -DMAX_DOMAIN=2 -DMAX_TIME=3 -DWORKERS=1 -DMAX_ORDERS=3 -DEVICTION -DOUTAGE"
eviction="-DMAX_EPOCH=1 -DMAX_TIME=3 -DMAX_ORDERS=3 -DFINISH -DEVICTION"
clock_drift="$eviction -DMAX_LAG=1 -DMAX_FAULTS=0"
worker_restart="-DMAX_BOOTS=1 -DMAX_TIME=0"
host_capacity="-DTASKS=2 -DWORKERS=1 -DMAX_TIME=1"

# specification | name | expected errors | flags
cases() {
  cat <<LIST
shard|full: takeover, messages|0|$takeover_messages
shard|full: takeover, time|0|$takeover_time
shard|full: takeover, lease bound|0|$takeover_lease_bound
shard|full: takeover, messages and time|0|$takeover_messages_and_time
shard|full: takeover, domain taken out|0|$takeover_domain_out
shard|full: failure domain|0|$failure_domain
shard|full: eviction|0|$eviction
shard|full: worker restart|0|$worker_restart
shard|full: capacity|0|$host_capacity
shard|full: clock drift|0|$clock_drift
requests|full|0|
settings|full|0|
requests|witness: a retry after not run was answered|1|-DWITNESS
settings|witness: both daemons reach the last version|1|-DWITNESS
shard|witness: resumed after a takeover|1|$takeover_messages -DWITNESS
shard|WITHOUT_OWNER_CHECK|1|$takeover_messages
shard|WITHOUT_SEQUENCE_ABSENT_CHECK|1|$takeover_messages
shard|WITHOUT_IDENTICAL_RESEND|1|$takeover_messages
shard|WITHOUT_EPOCH_FENCING|1|$takeover_messages
shard|WITHOUT_AUTONOMY_WAIT|1|$takeover_time
shard|WITHOUT_AUTONOMY_BOUND|1|$takeover_lease_bound
shard|WITHOUT_ALIVE_OWNER_CHECK|1|$takeover_lease_bound
shard|WITHOUT_LEASE_TAKEN_CHECK|1|$takeover_time
shard|WITHOUT_DOMAIN_CHECK|1|$failure_domain
shard|WITHOUT_PERMIT_AGE_CHECK|1|$failure_domain
shard|WITHOUT_PERMIT_BEFORE_APPEND|1|$failure_domain
shard|WITHOUT_OWN_START_CHECK|1|$takeover_domain_out
shard|WITHOUT_LEASE_FROM_ISSUE|1|$eviction
shard|WITHOUT_INCARNATION_DEDUPE|1|$eviction
shard|WITHOUT_REPORT_SEQUENCE_CHECK|1|$eviction
shard|WITHOUT_BOOT_IN_PERMIT|1|$worker_restart
shard|WITHOUT_DRIFT_ALLOWANCE|1|$clock_drift
requests|WITHOUT_REQUEST_RECORD|1|
requests|WITHOUT_RECORD_ABSENT_CHECK|1|
requests|WITHOUT_ROW_VERSION_CHECK|1|
requests|WITHOUT_HANDED_OVER_CHECK|1|
settings|WITHOUT_NEXT_VERSION_RULE|1|
settings|WITHOUT_SETTINGS_HEAD_CHECK|1|
LIST
}

# Prints: verdict | specification | name | states | errors | seconds | memory in MB
run_case() {
  IFS='|' read -r spec name expected flags <<<"$1"
  local dir started states errors memory verdict=ok
  dir=$(mktemp -d "$work/XXXXXX")
  started=$(date +%s)
  cd "$dir"
  cp "$source_dir/$spec.pml" .
  case $name in WITHOUT_*) flags="$flags -D$name" ;; esac
  # Limits: MEMLIM in MB, timeout in seconds, -m in steps (search depth), -w as the binary logarithm
  # of the number of hash table slots.
  # shellcheck disable=SC2086 # flags are words
  if ! { spin -a $flags "$spec.pml" && gcc -O1 -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 \
    -DMEMLIM=1500 -o pan pan.c && timeout 300 ./pan -m100000 -w20; } >out 2>&1; then
    verdict=FAILED
  fi
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' out | tail -1)
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' out | tail -1)
  memory=$(sed -n 's/^ *\([0-9.]*\)\ttotal actual memory usage.*/\1/p' out | tail -1)
  if grep -qiE 'max search depth too small|out of memory|reached -DMEMLIM' out; then
    verdict=FAILED
  fi
  # A search that stops at an error is also reported as not completed, so only a full model must
  # complete.
  if [ "$expected" = 0 ] && grep -q 'Search not completed' out; then
    verdict=FAILED
  fi
  # A variant or witness must fail by a violated assertion, not by another error such as a deadlock.
  if [ "$expected" = 1 ] && ! grep -q 'assertion violated' out; then
    verdict=FAILED
  fi
  [ "${errors:-none}" = "$expected" ] || verdict=FAILED
  [ $verdict = ok ] || tail -20 out >&2
  printf '%s|%s|%s|%s|%s|%s|%s\n' "$verdict" "$spec" "$name" "${states:--}" "${errors:--}" \
    $(($(date +%s) - started)) "${memory:--}"
}
export -f run_case

cases | tr '\n' '\0' | xargs -0 -P "$jobs" -I{} bash -c 'run_case "$1"' _ {} | sort -t'|' -k2,3 \
  >"$work/results"
{
  echo 'verdict|specification|case|states|errors|seconds|MB'
  cat "$work/results"
} | column -t -s'|'
[ "$(wc -l <"$work/results")" = "$(cases | wc -l)" ] && ! grep -q '^FAILED' "$work/results"
