#!/usr/bin/env bash
# Sends large bodies to the programs of deploy/system.toml; docs/bench.md describes it.
set -euo pipefail
cd "$(dirname "$0")/../.."
[ -f target/cornelspoke-platform/cornelspoke-platform.jar ] || {
  echo "large-bodies: build the deploy file first (README, \"On the cooperative platform\")" >&2
  exit 2
}
[ -d platform/target/test-classes ] || { echo "large-bodies: run bin/build first" >&2; exit 2; }
exec java -Xmx512m -cp platform/target/test-classes:target/cornelspoke-platform/cornelspoke-platform.jar \
  org.cornelspoke.platform.soak.LargeBodiesCommand "$@"
