#!/usr/bin/env bash
# bin/bench overhead [--rate N] [--rounds N] [--slice-millis N] [--seed S]
# Starts one upstream with its daemon, a second daemon that forwards to it and three control
# daemons; measures direct calls, calls through one daemon and calls through two daemons.
set -euo pipefail
cd "$(dirname "$0")/../.."

run_folder="run/overhead-$(date +%Y%m%d-%H%M%S)-$$"
mkdir -p "$run_folder"
source bin/lib/processes.sh
source bin/lib/deployment.sh
# No -XX:TieredStopAtLevel=1 here: the optimising compiler determines the latency of a daemon in
# production.
daemon_options="-XX:+UseSerialGC -Xmx64m"
upstream_options="-XX:+UseSerialGC -Xmx128m"
trap 'trap - EXIT INT TERM; stop_all' EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

startup_deadline=60
build_if_needed
start_deployment overhead 1
address="$(sed -n 's/.*"address" : "\(.*\)".*/\1/p' "$run_folder/upstream-called.json")"
key="$(sed -n 's/.*"key" *: *"\([^"]*\)".*/\1/p' "$run_folder/keys/caller-1.json")"
# The second direct path shows the measurement noise: how much two identical paths differ on this
# machine.
run_process overhead "${bench_java[@]}" -jar "$bench_jar" overhead \
  --json "$run_folder/overhead.json" --path.direct="$address" --path.direct-again="$address" \
  --path.one-daemon="$(sed -n 1p "$run_folder/edges")" \
  --path.two-daemons="$(sed -n 2p "$run_folder/edges")" \
  --pid.upstream="${process_ids[upstream-called]}" \
  --pid.called="${process_ids[called-1]}" \
  --pid.forwarding="${process_ids[forwarding-1]}" \
  --key "$key" "$@"
check_running
