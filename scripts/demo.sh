#!/usr/bin/env bash
# Builds, starts the deployment deployments/local on loopback with stand-ins,
# and shows a streamed answer and an order that is sent twice but runs once.
# Usage: scripts/demo.sh [--keep]   (--keep leaves it running until Ctrl-C)
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
ninja -C build --quiet comfreyspring_entry comfreyspring_agent \
  comfreyspringctl standin_engine standin_service standin_platform

work=$(mktemp -d)
processes=()
stop_all() {
  kill "${processes[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

# Starts a program and waits for its line "listening ...". Sets $announced.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  processes+=($!)
  for _ in $(seq 200); do
    if announced=$(grep -m1 '^listening' "$work/$name.out"); then return; fi
    sleep 0.05
  done
  echo "demo: $name did not start:" >&2
  cat "$work/$name.log" >&2
  exit 1
}

ctl=build/src/ctl/comfreyspringctl
local_dir=deployments/local
"$ctl" sheet check --sheet="$local_dir/sheet.csv" --fleet="$local_dir/fleet.csv"
"$ctl" sheet compile --sheet="$local_dir/sheet.csv" \
  --fleet="$local_dir/fleet.csv" --out="$work/documents"

start platform build/standins/platform/standin_platform --port=0 \
  --config_directory="$work/documents"
platform="http://127.0.0.1:${announced##* }"

# One endpoint and its agent for each row of fleet.csv.
tail -n +2 "$local_dir/fleet.csv" >"$work/rows"
while IFS=, read -r endpoint vm kind data_centre _ port model _ checks _; do
  if [ "$kind" = engine ]; then
    start "$endpoint" build/standins/standin_engine --port=0 --slots=8 \
      --batch_limit=16 --model="$model" --token_ms=15 \
      --checks_fencing="${checks:-no}" --weights_url="$platform/weights"
  else
    start "$endpoint" build/standins/standin_service --port=0
  fi
  start "agent-$endpoint" build/src/agent/comfreyspring_agent \
    --endpoint_id="$endpoint" --vm_id="$vm" --data_centre="$data_centre" \
    --link_port="$port" --admin_port=0 --endpoint_kind="$kind" \
    --endpoint_url="http://127.0.0.1:${announced##* }"
done <"$work/rows"

entries=()
for number in 1 2; do
  start "entry-$number" build/src/entry/comfreyspring_entry --port=0 \
    --process_id="entry-$number" --data_centre=local-a \
    --platform_url="$platform"
  entries+=("http://127.0.0.1:${announced##* }")
done
for entry in "${entries[@]}"; do
  curl -fsS --retry 40 --retry-delay 1 --retry-all-errors "$entry/readyz" \
    >/dev/null 2>&1
done

echo "== streamed completion from adapter-0007, version v2, by ${entries[0]}"
curl -fsSN "${entries[0]}/v1/chat/completions" \
  -H 'Content-Type: application/json' -d '{"model":"adapter-0007",
  "stream":true,"max_tokens":8,
  "messages":[{"role":"user","content":"The buckle is worn. What now?"}]}'

# An agent refuses keys that may be older than its record: made before its
# start plus 2 s of clock skew.
sleep 2.2
key=$(python3 - <<'PY'
import os, time
value = (int(time.time() * 1000) << 80) | int.from_bytes(os.urandom(10), "big")
value = value & ~(0xF << 76) | (7 << 76)
value = value & ~(0x3 << 62) | (2 << 62)
text = f"{value:032x}"
print("-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:])))
PY
)
for entry in "${entries[@]}"; do
  echo "== order with key $key by $entry"
  curl -sS "$entry/v1/services/orders/new" -H "Idempotency-Key: $key" \
    -H 'Content-Type: application/json' -d '{"strap":"blue"}'
  echo
done
echo "== state of ${entries[0]} (first lines)"
"$ctl" state --url="${entries[0]}" | head -n 12 || true

if [ "${1:-}" = --keep ]; then
  echo "Running; entries at ${entries[*]}, platform at $platform."
  wait
fi
