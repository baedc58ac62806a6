#!/usr/bin/env bash
# bin/bench soak --seconds N --seed S [--deployment NAME] [--scale F]
# Runs a deployment under load with faults and configuration changes on a schedule derived from the
# seed: kills, stops, pauses and restarts processes of every role, withdraws keys and changes
# presets and account weights. Then checks the recorded results.
set -euo pipefail
cd "$(dirname "$0")/../.."

usage() {
  echo "usage: bin/bench soak --seconds N --seed S [--deployment cooperative|softwarehouse]" \
    "[--scale FACTOR]" >&2
  exit 2
}

seconds="" seed="" deployment="cooperative" scale="0.5"
while [ "$#" -gt 0 ]; do
  [ "$#" -ge 2 ] || usage
  case "$1" in
    --seconds) seconds="$2" ;;
    --seed) seed="$2" ;;
    --deployment) deployment="$2" ;;
    --scale) scale="$2" ;;
    *) usage ;;
  esac
  shift 2
done
[[ "$seconds" =~ ^[0-9]+$ && "$seed" =~ ^[0-9]+$ ]] || usage
[ "$seconds" -ge 20 ] || { echo "--seconds: must be 20 or more" >&2; exit 2; }

run_folder="run/soak-$deployment-$seed-$(date +%Y%m%d-%H%M%S)-$$"
mkdir -p "$run_folder"
source bin/lib/processes.sh
source bin/lib/deployment.sh
trap 'trap - EXIT INT TERM; stop_all' EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

now_millis() {
  echo $((${EPOCHREALTIME/[^0-9]/} / 1000))
}

# change NUMBER KIND ARGUMENT: requests a configuration change and records the exit code. A call
# that gets no response (exit code 5) is retried with the same request id, as an operator would do,
# up to three attempts in total.
change() {
  local id="soak-$seed-$1" code=0 attempt
  for attempt in 1 2 3; do
    code=0
    case "$2" in
      withdraw) ctl key withdraw "$3" --request-id "$id" || code=$? ;;
      preset) ctl preset use "$3" --request-id "$id" || code=$? ;;
      # The tool reads the account before it changes it, so a retry may be based on a later state.
      weight) ctl account set "${3%%=*}" --weight "${3##*=}" --request-id "$id" || code=$? ;;
    esac
    [ "$code" -ne 5 ] && break
  done >>"$run_folder/changes.log" 2>&1
  printf '%s\t%s\t%s\t%s\t%s\n' "${EPOCHREALTIME/[^0-9]/}" "$id" "$code" "$2" "$3" \
    >>"$run_folder/changes.tsv"
}

# restart NAME: stops the process if it is still running, then starts it again.
restart() {
  stop_processes 5 "$1"
  case "$1" in
    upstream-*) start_upstream "$1" ;;
    *) start_daemon "$1" ;;
  esac
}

# run_schedule: runs the actions of schedule.tsv (time in ms, action, argument) at their times, then
# waits for the configuration changes, which run in the background.
run_schedule() {
  local start_millis at_millis action argument change_number=0 remaining_millis change_pids=()
  start_millis="$(now_millis)"
  while IFS=$'\t' read -r at_millis action argument; do
    remaining_millis=$((start_millis + at_millis - $(now_millis)))
    if [ "$remaining_millis" -gt 0 ]; then
      sleep "$(printf '%d.%03d' $((remaining_millis / 1000)) $((remaining_millis % 1000)))"
    fi
    echo "$at_millis ms: $action $argument"
    case "$action" in
      kill) signal_process "$argument" KILL ;;
      term) signal_process "$argument" TERM ;;
      pause) signal_process "$argument" STOP ;;
      resume) signal_process "$argument" CONT ;;
      start) restart "$argument" ;;
      *)
        change_number=$((change_number + 1))
        change "$change_number" "$action" "$argument" &
        change_pids+=("$!")
        ;;
    esac
  done <"$run_folder/schedule.tsv"
  [ "${#change_pids[@]}" -eq 0 ] || wait "${change_pids[@]}"
}

startup_deadline=60
build_if_needed
start_deployment "$deployment" 2
touch "$run_folder/changes.tsv"
bench deployment-load --deployment "$deployment" --run-folder "$run_folder" --run-id "s$seed" \
  --seed "$seed" --seconds "$seconds" --scale "$scale"
bench soak-schedule --run-folder "$run_folder" --seed "$seed" --seconds "$seconds"
start_process load "${bench_java[@]}" -jar "$bench_jar" load --plan "$run_folder/load-plan.json" \
  --json "$run_folder/results.json" --log "$run_folder/attempts.jsonl"
run_schedule
echo "waiting for the load generator to finish"
await_end $((seconds + 40)) load || fail "the load generator did not end"
unset 'process_ids[load]'
cat "$run_folder/load.log"
startup_deadline=$((SECONDS + 30))
await 30 "traffic daemons after the faults" all_healthy
ctl audit --limit 1000 --json >"$run_folder/audit.json"
ctl config show >"$run_folder/config.json"
stop_all
trap - EXIT
bench soak-check --run-folder "$run_folder"
echo "no violation; seed $seed, $seconds s, files in $run_folder"
