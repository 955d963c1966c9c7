#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/out/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
for case in [0-9]*/case.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-psabi -pthread -I standins -o "out/case-${case%%/*}" "$case"
done
