#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 below target/. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/standins-2/review2/*.java
