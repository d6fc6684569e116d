#!/usr/bin/env bash
# Searches the full models and every variant without one guard. A full model must have no error,
# a variant and a witness must have one, and no search may be cut short.
# Usage: model/check.sh [JOBS]   Needs spin and gcc. Work files go to a temporary directory.
set -euo pipefail
cd "$(dirname "$0")"
jobs=${1:-$(nproc)}
source_dir=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export source_dir work

# Bounds by scope; model/README.md says what each scope covers.
instant="-DMAX_TIME=0 -DMAX_FAULTS=1"
short="-DSTART_WINDOW=0 -DLEASE=1 -DOUTAGE_LEASE=2 -DAUTONOMY=2 -DMAX_TIME=3 -DMAX_FAULTS=0 -DOUTAGE"
bound="-DSTART_WINDOW=1 -DLEASE=1 -DOUTAGE_LEASE=2 -DAUTONOMY=1 -DMAX_TIME=2 -DMAX_FAULTS=0 -DOUTAGE"
tick="-DSTART_WINDOW=0 -DLEASE=1 -DOUTAGE_LEASE=1 -DAUTONOMY=1 -DMAX_TIME=1 -DMAX_FAULTS=1"
takeover_out="$tick -DMAX_DOMAIN=1"
domain="-DMAX_EPOCH=1 -DMAX_DOMAIN=2 -DMAX_TIME=3 -DWORKERS=1 -DMAX_ORDERS=3 -DEVICTION -DOUTAGE"
single="-DMAX_EPOCH=1 -DMAX_TIME=3 -DMAX_ORDERS=3 -DFINISH -DEVICTION"
drift="$single -DMAX_LAG=1 -DMAX_FAULTS=0"
restart="-DMAX_BOOTS=1 -DMAX_TIME=0"
capacity="-DTASKS=2 -DWORKERS=1 -DMAX_TIME=1"

# specification | name | expected errors | flags
cases() {
  cat <<LIST
shard|full: takeover, messages|0|$instant
shard|full: takeover, time|0|$short
shard|full: takeover, lease bound|0|$bound
shard|full: takeover, messages and time|0|$tick
shard|full: takeover, domain taken out|0|$takeover_out
shard|full: failure domain|0|$domain
shard|full: eviction|0|$single
shard|full: worker restart|0|$restart
shard|full: capacity|0|$capacity
shard|full: clock drift|0|$drift
requests|full|0|
settings|full|0|
requests|witness: a retry after not run was answered|1|-DWITNESS
settings|witness: both daemons reach the last version|1|-DWITNESS
shard|witness: resumed after a takeover|1|$instant -DWITNESS
shard|WITHOUT_OWNER_CHECK|1|$instant
shard|WITHOUT_SEQUENCE_ABSENT_CHECK|1|$instant
shard|WITHOUT_IDENTICAL_RESEND|1|$instant
shard|WITHOUT_EPOCH_FENCING|1|$instant
shard|WITHOUT_AUTONOMY_WAIT|1|$short
shard|WITHOUT_AUTONOMY_BOUND|1|$bound
shard|WITHOUT_ALIVE_OWNER_CHECK|1|$bound
shard|WITHOUT_LEASE_TAKEN_CHECK|1|$short
shard|WITHOUT_DOMAIN_CHECK|1|$domain
shard|WITHOUT_PERMIT_AGE_CHECK|1|$domain
shard|WITHOUT_PERMIT_BEFORE_APPEND|1|$domain
shard|WITHOUT_OWN_START_CHECK|1|$takeover_out
shard|WITHOUT_LEASE_FROM_ISSUE|1|$single
shard|WITHOUT_INCARNATION_DEDUPE|1|$single
shard|WITHOUT_REPORT_SEQUENCE_CHECK|1|$single
shard|WITHOUT_BOOT_IN_PERMIT|1|$restart
shard|WITHOUT_DRIFT_ALLOWANCE|1|$drift
requests|WITHOUT_REQUEST_RECORD|1|
requests|WITHOUT_RECORD_ABSENT_CHECK|1|
requests|WITHOUT_ROW_VERSION_CHECK|1|
requests|WITHOUT_HANDED_OVER_CHECK|1|
settings|WITHOUT_NEXT_VERSION_RULE|1|
settings|WITHOUT_SETTINGS_HEAD_CHECK|1|
LIST
}

# Prints: verdict | specification | name | states | errors | seconds | memory in MB
run() {
  IFS='|' read -r spec name expected flags <<<"$1"
  local dir started states errors memory verdict=ok
  dir=$(mktemp -d "$work/XXXXXX")
  started=$(date +%s)
  cd "$dir"
  cp "$source_dir/$spec.pml" .
  case $name in WITHOUT_*) flags="$flags -D$name" ;; esac
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
  # A search that stops at an error is reported as incomplete, which is expected of a variant.
  if [ "$expected" = 0 ] && grep -q 'Search not completed' out; then
    verdict=FAILED
  fi
  # Only a violated assertion counts as a counterexample.
  if [ "$expected" = 1 ] && ! grep -q 'assertion violated' out; then
    verdict=FAILED
  fi
  [ "${errors:-none}" = "$expected" ] || verdict=FAILED
  [ $verdict = ok ] || tail -20 out >&2
  printf '%s|%s|%s|%s|%s|%s|%s\n' "$verdict" "$spec" "$name" "${states:--}" "${errors:--}" \
    $(($(date +%s) - started)) "${memory:--}"
}
export -f run

cases | tr '\n' '\0' | xargs -0 -P "$jobs" -I{} bash -c 'run "$1"' _ {} | sort -t'|' -k2,3 \
  >"$work/results"
{
  echo 'verdict|specification|case|states|errors|seconds|MB'
  cat "$work/results"
} | column -t -s'|'
[ "$(wc -l <"$work/results")" = "$(cases | wc -l)" ] && ! grep -q '^FAILED' "$work/results"
