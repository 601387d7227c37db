#!/usr/bin/env bash
# Runs every scenario for both deployments, with trefoilhitch and with the baseline.
# Usage: benchmarks/bench.sh [SEEDS [SCENARIO...]]
set -euo pipefail
cd "$(dirname "$0")/.."
SEEDS=${1:-5}
shift || true
SCENARIOS=${*:-steady failover island node_loss drain store_outage}
mkdir -p build
for deployment in himal hanbit; do
    for scenario in $SCENARIOS; do
        for system in trefoilhitch baseline; do
            for seed in $(seq 1 "$SEEDS"); do
                echo --deployment $deployment --scenario "$scenario" --system $system --seed "$seed"
            done
        done
    done
done | xargs -P 4 -L 1 .venv/bin/trefoilhitch-lab bench >build/bench.jsonl
.venv/bin/trefoilhitch-lab report build/bench.jsonl build/bench.json
