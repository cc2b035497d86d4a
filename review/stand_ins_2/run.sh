#!/usr/bin/env bash
# Plays PROGRAM of review/build-2.sh, and writes RECORD in any case. The exit
# status is 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
program=target/review-2/$1
record=$2
cd "$(dirname "$0")/../.." || exit 2
: >"$record" || exit 2
could_not_run() {
  echo "could not run: $1" | tee -a "$record" >&2
  exit 2
}
[ -x target/bin/samphire-platform-entry ] || could_not_run "no build of deploy/system.toml"
[ -x "$program" ] || could_not_run "no build of review/build-2.sh"
folder=$(mktemp -d) || could_not_run "no temporary folder"
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 110 "$program" "$folder" "$record"
status=$?
[ "$status" -le 1 ] || could_not_run "$program ended with status $status"
exit "$status"
