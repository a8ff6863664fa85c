#!/usr/bin/env bash
# Runs the tests of a build folder, except those that KNOWN-RED.txt lists, and
# prints these. Usage: scripts/run_tests.sh BUILD_FOLDER JOBS
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
jobs=$2
entries=$(grep -Ev '^(#|[[:space:]]*$)' KNOWN-RED.txt 2>/dev/null || true)
arguments=()
if [[ -n $entries ]]; then
  names=$(cut -d '|' -f 1 <<<"$entries" | tr -d ' ')
  # Tests within a program are left out by GoogleTest, those that are entries
  # of ctest by ctest.
  export GTEST_FILTER="*-$(paste -s -d : <<<"$names")"
  arguments=(-E "^($(sed 's/\./\\./g' <<<"$names" | paste -s -d '|'))\$")
  echo "known red, left out:"
  sed 's/^/  /' <<<"$entries"
fi
ctest --test-dir "$build" --output-on-failure -j "$jobs" "${arguments[@]}"
