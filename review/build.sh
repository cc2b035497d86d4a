#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start, with their stand-ins,
# into target/review/.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out/stand_ins"
flags=(-std=c++20 -O1)
objects=()
builds=()
for source in review/stand_ins/*.cc; do
  object=$out/stand_ins/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  builds+=("$!")
  objects+=("$object")
done
for build in "${builds[@]}"; do
  wait "$build"
done
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case_$name" -lfmt -lpthread
done
