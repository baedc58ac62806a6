#!/usr/bin/env bash
# Runs the programs of deploy/system.toml as real processes under faults; docs/bench.md describes it.
set -euo pipefail
cd "$(dirname "$0")/../.."
[ -f target/cornelspoke-platform/cornelspoke-platform.jar ] || {
  echo "configuration-soak: build the deploy file first (README, \"On the cooperative platform\")" >&2
  exit 2
}
[ -d platform/target/test-classes ] || { echo "configuration-soak: run bin/build first" >&2; exit 2; }
exec java -Xmx512m -cp platform/target/test-classes:target/cornelspoke-platform/cornelspoke-platform.jar \
  org.cornelspoke.platform.soak.ConfigurationSoakCommand "$@"
