#!/usr/bin/env bash
# Checks format, lint, package dependencies and file sizes.
# Usage: etc/lint.sh BUILD_FOLDER
set -u
build=$1
failed=0
sources=$(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')

clang-format --dry-run -Werror $sources || failed=1

# Each package may include only the packages named here (docs/DESIGN.md).
allowed() {
  case $1 in
    json) echo "json" ;;
    config) echo "config json" ;;
    outcome) echo "outcome" ;;
    balance) echo "balance config" ;;
    admission) echo "admission config outcome" ;;
    membership) echo "membership" ;;
    log) echo "log" ;;
    metrics) echo "metrics outcome" ;;
    memory) echo "memory" ;;
    link) echo "link balance memory" ;;
    http) echo "http link log memory metrics outcome" ;;
    admin) echo "admin" ;;
    source) echo "source config json log metrics node" ;;
    node) echo "node admission balance config http json link log memory membership metrics outcome source admin" ;;
  esac
}
for file in $sources; do
  case $file in
    *_test.cpp) continue ;;
    src/libyuccamast/*/*) package=${file#src/libyuccamast/} ;;
    include/yuccamast/*/*) package=${file#include/yuccamast/} ;;
    *) continue ;;
  esac
  package=${package%%/*}
  for target in $(sed -nE 's|^#include "(yuccamast/)?([a-z]+)/.*|\2|p' "$file"); do
    [ "$target" = yuccamast ] && continue
    if ! grep -qw "$target" <<<"$(allowed "$package")"; then
      echo "$file: package $package may not include package $target"
      failed=1
    fi
  done
done

# Names of the users' platform may occur only in platform/ (docs/design/006).
words='Request-Id|Deadline-Ms|Target-Instance|Not-Executed|Response-Seal'
words+='|Server-Load|Caller-Service|kv-(key|range|watch)|op/config|servers/'
words+='|max_attempts|target_latency|route_type|cold_remaining|mod_revision|sidecar'
for file in $sources; do
  case $file in
    platform/* | *_test.cpp) continue ;;
  esac
  if grep -nE "(^|[^-[:alnum:]])($words)" "$file"; then
    echo "$file: uses a name of the users' platform, allowed only in platform/"
    failed=1
  fi
  if grep -n '#include "platform/' "$file" | grep -v '^$' &&
    [ "${file#src/yuccamast/}" = "$file" ]; then
    echo "$file: only the program may include platform/"
    failed=1
  fi
done

for file in $sources; do
  lines=$(wc -l <"$file")
  if [ "$lines" -gt 500 ]; then
    echo "$file: $lines lines, more than 500"
    failed=1
  fi
done

printf '%s\n' $sources | grep '\.cpp$' | grep -vE '_test\.cpp$|^examples/' |
  xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p "$build" \
    >"$build/lint.log" 2>/dev/null || { cat "$build/lint.log"; failed=1; }

[ "$failed" -eq 0 ] && echo "lint: clean"
exit "$failed"
