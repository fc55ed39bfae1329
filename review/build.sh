#!/usr/bin/env bash
# Builds the programs of the scripts with their stand-ins, into review/bin. Needs g++ and nlohmann-json3-dev, which
# deploy/system.toml declares.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cpp; do
    g++ -std=c++20 -O1 -pthread -o "bin/$(basename "$source" .cpp)" "$source"
done
