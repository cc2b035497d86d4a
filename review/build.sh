#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start, with their stand-ins,
# into target/review/. Needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
library=target/review/stand_ins.o.d
mkdir -p "$library"
flags=(-std=c++20 -O1 -Ireview -Itests -Isrc/libsamphire -Iplatform)
objects=()
for source in review/stand_ins/*.cc tests/platform_adapter/stand_in_platform.cc; do
  object=$library/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "target/review/case_$name" \
    target/platform/libsamphire_platform_adapter.a target/src/libsamphire.a \
    -lPocoNet -lPocoJSON -lPocoFoundation -lfmt -lxxhash -lpthread
done
