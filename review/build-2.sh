#!/usr/bin/env bash
# Builds the stand-ins and scenarios of cases 4 to 8 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra)
objects=()
builds=()
for source in review/stand_ins_2/*.cc; do
  object=$out/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  builds+=("$!")
  objects+=("$object")
done
for build in "${builds[@]}"; do
  wait "$build"
done
for source in review/*/scenario.cc; do
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case_$name" -lpthread
done
