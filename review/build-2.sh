#!/bin/sh
# Builds the stand-ins of review/6 to review/10 into target/review-2; needs g++ and its libraries only.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
out="$root/target/review-2"
mkdir -p "$out"
for source in "$root"/review/standins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "$out/$name"
done
