# Starts local processes, remembers their ids and ends exactly those. To be sourced; the caller sets
# run_folder to the folder for logs and ids.

declare -A process_ids=() start_times=()
pids_file="$run_folder/pids"

# remember_process NAME PID
remember_process() {
  process_ids[$1]=$2
  start_times[$1]="$(start_time "$2")" || start_times[$1]=ended
  printf '%s %s %s\n' "$1" "$2" "${start_times[$1]}" >>"$pids_file"
}

# start_process NAME COMMAND...: runs the command in the background, with output to NAME.log.
start_process() {
  local name="$1"
  shift
  "$@" >>"$run_folder/$name.log" 2>&1 </dev/null &
  remember_process "$name" "$!"
  # Without this the shell reports each killed process by itself.
  disown "$!"
}

# run_process NAME COMMAND...: runs the command and waits for it. A signal to the script is handled
# at once, which the shell does not do while it runs a command in the foreground.
run_process() {
  local name="$1" code=0
  shift
  "$@" </dev/null &
  remember_process "$name" "$!"
  wait "$!" || code=$?
  unset "process_ids[$name]"
  return "$code"
}

# start_time PID: prints when the process started; fails if it has ended.
start_time() {
  local stat
  { stat="$(<"/proc/$1/stat")"; } 2>/dev/null || return 1
  # The name of the program is in parentheses and may contain spaces.
  read -ra stat <<<"${stat##*) }"
  [ "${stat[0]}" != Z ] && [ "${stat[0]}" != X ] && echo "${stat[19]}"
}

# is_running NAME: true if the process still runs. The start time tells it from another process that
# the system has given the same id.
is_running() {
  local pid="${process_ids[$1]:-}"
  [ -n "$pid" ] && [ "$(start_time "$pid")" = "${start_times[$1]}" ]
}

# signal_process NAME SIGNAL: sends a signal if the process still runs.
signal_process() {
  if is_running "$1"; then
    kill "-$2" "${process_ids[$1]}" 2>/dev/null || true
  fi
}

# load_processes: reads the ids of an earlier script; the last id of each name counts.
load_processes() {
  local name pid started
  while read -r name pid started; do
    process_ids[$name]=$pid
    start_times[$name]=$started
  done <"$pids_file"
}

# await_end SECONDS NAME...: waits until none of the processes runs; fails when the time is over.
await_end() {
  local tenths=$(($1 * 10)) name running
  shift
  while [ "$tenths" -gt 0 ]; do
    running=0
    for name in "$@"; do
      if is_running "$name"; then
        running=1
      fi
    done
    [ "$running" -eq 0 ] && return 0
    sleep 0.1
    tenths=$((tenths - 1))
  done
  return 1
}

# stop_processes SECONDS NAME...: asks the processes to end, then kills those that remain.
stop_processes() {
  local seconds="$1" name
  shift
  [ "$#" -eq 0 ] && return 0
  for name in "$@"; do
    signal_process "$name" CONT
    signal_process "$name" TERM
  done
  if ! await_end "$seconds" "$@"; then
    for name in "$@"; do
      if is_running "$name"; then
        echo "$name did not end within $seconds s and is killed" >&2
        signal_process "$name" KILL
      fi
    done
    await_end 5 "$@" || true
  fi
}

# stop_all: ends upstreams first, which drain through their daemons, then daemons, then the rest.
stop_all() {
  local upstreams=() controls=() others=() name
  for name in "${!process_ids[@]}"; do
    case "$name" in
      upstream-*) upstreams+=("$name") ;;
      control-*) controls+=("$name") ;;
      *) others+=("$name") ;;
    esac
  done
  stop_processes 4 "${upstreams[@]}"
  stop_processes 4 "${others[@]}"
  stop_processes 3 "${controls[@]}"
}
