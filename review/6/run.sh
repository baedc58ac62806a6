#!/usr/bin/env bash
# Two core machines are replaced at once; later two others lose their disks.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -f target/cornelspoke-platform/cornelspoke-platform.jar ] && [ -d target/review-2/review2 ] || {
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
}
timeout -k 5 118 java -Xmx512m -cp target/review-2 review2.ReplacedCase review/6/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
