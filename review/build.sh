#!/usr/bin/env bash
# Builds the stand-ins of the cases below target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-standins
javac -nowarn -d target/review-standins review/standins/*.java
