#!/usr/bin/env bash
# Builds the required programs and prints the result tables as Markdown.
# Usage: bench/capacity/run.sh [PHASE...]   (phases are in capacity.py)
set -euo pipefail
cd "$(dirname "$0")/../.."
cmake -S . -B build -G Ninja >/dev/null
ninja -C build -j 3 --quiet comfreyspring_entry comfreyspring_agent \
  comfreyspringctl standin_engine standin_service standin_platform \
  comfreyspring_load fake_agents fake_entries >&2
echo "Commit $(git rev-parse --short HEAD), $(date -u +%Y-%m-%dT%H:%MZ)," \
  "$(nproc) cores, load average $(cut -d' ' -f1 /proc/loadavg), seed 20261204."
echo
exec python3 bench/capacity/capacity.py "$@"
