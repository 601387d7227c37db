#!/usr/bin/env bash
# Starts the stand-ins and one node, measures both, and stops them.
# Usage: benchmarks/cost.sh [--rate R] [--seconds S] [--seed N]
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=.venv/bin
KEY=th_demo_0123456789abcdef0123456789abcdef
mkdir -p build
# The stand-ins get more slots than the node is configured for, so that the
# direct load finds free slots while the node occupies its own.
sed 's/^slots = 5/slots = 10/' examples/orders.ini >build/cost.ini
$BIN/trefoilhitch-lab serve build/cost.ini --node examples/node1.ini >build/platform.log 2>&1 &
PLATFORM=$!
trap 'kill "$PLATFORM" "${NODE:-$PLATFORM}" 2>/dev/null || true' EXIT
sleep 2
$BIN/trefoilhitch apply examples/orders.ini --store 127.0.0.1:7101 >/dev/null
$BIN/trefoilhitchd --settings examples/node1.ini >build/node.log 2>&1 &
NODE=$!
sleep 4
$BIN/trefoilhitch-lab cost examples/orders.ini examples/node1.ini --key "$KEY" \
    --node-pid "$NODE" --platform-pid "$PLATFORM" "$@" | tee build/cost.json
