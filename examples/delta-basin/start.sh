#!/usr/bin/env bash
# Starts one process each of a small Delta Basin deployment on loopback, and imports its tree.
# Stop it with Ctrl-C: it ends the processes it started, by their ids, and nothing else.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
bin=${AMARANTH_BIN:-$here/../../target/release}
dir=$(mktemp -d)
pids=()

stop() {
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop EXIT
trap 'exit 0' INT TERM

# Starts a process, and waits for the line that tells its address.
start() {
  local name=$1; shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.err" &
  pids+=($!)
  for _ in $(seq 300); do
    if grep -q '^listening ' "$dir/$name.out" 2>/dev/null; then return; fi
    sleep 0.1
  done
  echo "$name did not start:"; cat "$dir/$name.err"; exit 1
}

# Tells the platform stand-in of a host.
host() {
  local service=null
  if [ -n "$3" ]; then service="\"$3\""; fi
  curl -sf -o /dev/null -X POST http://127.0.0.1:7000/admin/hosts/put -d "{\"host\":\"$1\",
    \"address\":\"$2\",\"region\":\"delta-south\",\"zone\":\"north-yard\",\"service\":$service,
    \"state\":\"live\"}"
}

# Starts a sidecar before a backend server.
sidecar() {
  local service=$1 port=$2
  printf '[sidecar]\nhost = %s-1\nregion = delta-south\nzone = north-yard\nlisten = 127.0.0.1:%s\nservice = %s\nbackend = 127.0.0.1:%s\nplatform = 127.0.0.1:7000\n' \
    "$service" "$((port + 1))" "$service" "$port" >"$dir/$service.ini"
  start "sidecar-$service" "$bin/amaranth-sidecar" --config "$dir/$service.ini"
  host "$service-1" "127.0.0.1:$((port + 1))" "$service"
}

start platform "$bin/standin-platform" --listen 127.0.0.1:7000
port=7100
for service in assay-llm encoders retrievers rerankers; do
  start "$service" "$bin/standin-engine" --listen "127.0.0.1:$port"
  sidecar "$service" "$port"
  port=$((port + 10))
done
start grower-ledger "$bin/standin-service" --listen "127.0.0.1:$port" --name grower-ledger
sidecar grower-ledger "$port"
start entry "$bin/amaranth-entry" --config "$here/entry.ini"
host entry-1 127.0.0.1:8081 ""
echo demo-delta-operator >"$dir/operator.key"
until curl -sf -o /dev/null http://127.0.0.1:8080/readyz; do sleep 0.1; done
"$bin/amaranthctl" --entry 127.0.0.1:8080 --key-file "$dir/operator.key" --by start.sh \
  tree import "$here/tree.json"
echo "ready: callers and operators at 127.0.0.1:8080, the platform stand-in at 127.0.0.1:7000"
if [ "${1:-}" = --then ]; then shift; "$@"; else wait; fi
