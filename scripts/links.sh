#!/usr/bin/env bash
# Fails if a page links to a file that does not exist.
set -uo pipefail
cd "$(dirname "$0")/.."
status=0
while IFS=: read -r page link; do
  target=${link#](}
  target=${target%%#*}
  if [ -n "$target" ] && [ ! -e "$(dirname "$page")/$target" ]; then
    echo "$page links to $target, which does not exist"
    status=1
  fi
done < <(grep -roE '\]\([^)[:space:]:]+' --include='*.md' docs ./*.md)
exit "$status"
