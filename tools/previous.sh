#!/usr/bin/env bash
# Builds the programs of COMMIT into FOLDER, from a temporary worktree.
set -euo pipefail
[ $# = 2 ] || { echo "usage: previous.sh COMMIT FOLDER" >&2; exit 2; }
commit=$1
folder=$(mkdir -p "$2" && cd "$2" && pwd)
if [ "$(cat "$folder/commit" 2>/dev/null)" = "$commit" ]; then exit 0; fi
tree=$(mktemp -d)
trap 'git worktree remove --force "$tree" 2>/dev/null; rm -rf "$tree"' EXIT
git worktree add --quiet --detach "$tree" "$commit"
(cd "$tree" && go build -o "$folder/" ./cmd/...)
echo "$commit" > "$folder/commit"
