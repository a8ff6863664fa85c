#!/usr/bin/env bash
# Runs clang-tidy over all sources (or the given files) on all cores.
# A clean verdict is cached under the hash of the preprocessed file, because
# files that include ACE, curl and JSON take about 20 s each.
# Usage: scripts/lint.sh BUILD_DIRECTORY [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: scripts/lint.sh BUILD_DIRECTORY [FILE...]}
shift
export build
export cache="${XDG_CACHE_HOME:-$HOME/.cache}/comfreyspring-lint"
mkdir -p "$cache"
lint_file() {
  local file=$1 key command
  command=$(python3 - "$build" "$file" <<'PY'
import json, os, shlex, sys
build, wanted = sys.argv[1], os.path.abspath(sys.argv[2])
for entry in json.load(open(os.path.join(build, "compile_commands.json"))):
    if os.path.abspath(os.path.join(entry["directory"], entry["file"])) == wanted:
        words = shlex.split(entry["command"])
        words = [w for w in words if not w.endswith("ccache")]
        words = words[:words.index("-o")] + words[words.index("-o") + 2:]
        words = [w for w in words if w != "-c"]
        drop = {"-MD"}
        out, skip = [], False
        for w in words:
            if skip: skip = False; continue
            if w in ("-MT", "-MF"): skip = True; continue
            if w not in drop: out.append(w)
        print(shlex.join(out + ["-E", "-P"]))
        break
PY
)
  [ -n "$command" ] || return 0
  key=$( (cat .clang-tidy; eval "$command" 2>/dev/null) | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  if clang-tidy --quiet -p "$build" "$file" 2>/dev/null; then
    : > "$cache/$key"
  else
    echo "lint: $file failed"
    return 1
  fi
}
export -f lint_file
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files '*.cc'); fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_file {}'
echo "lint: clean"
