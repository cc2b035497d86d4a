#!/usr/bin/env bash
# Plays the case in the folder CASE: exits with 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case_$(basename "$case_folder")
if [ ! -x "$program" ] || [ ! -x target/bin/samphire-platform-entry ]; then
  echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 110 "$program" "$folder" "$case_folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
