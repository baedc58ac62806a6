# Starts local processes, records their ids and stops only those processes. Set run_folder, the
# folder for logs and ids, before sourcing this file.

declare -A process_ids=() start_times=()
pids_file="$run_folder/pids"

# record_process NAME PID: stores the id and start time of a process, also in the file pids.
record_process() {
  process_ids[$1]=$2
  start_times[$1]="$(start_time "$2")" || start_times[$1]=ended
  printf '%s %s %s\n' "$1" "$2" "${start_times[$1]}" >>"$pids_file"
}

# start_process NAME COMMAND...: runs the command in the background, with its output in NAME.log.
start_process() {
  local name="$1"
  shift
  "$@" >>"$run_folder/$name.log" 2>&1 </dev/null &
  record_process "$name" "$!"
  # Otherwise the shell prints a message for each killed process.
  disown "$!"
}

# run_process NAME COMMAND...: runs the command in the background and waits for it, so that the
# traps of the script run at once on a signal. While a command runs in the foreground, the shell
# delays them.
run_process() {
  local name="$1" code=0
  shift
  "$@" </dev/null &
  record_process "$name" "$!"
  wait "$!" || code=$?
  unset "process_ids[$name]"
  return "$code"
}

# start_time PID: prints the start time in clock ticks since boot; fails if the process has ended.
start_time() {
  local stat
  { stat="$(<"/proc/$1/stat")"; } 2>/dev/null || return 1
  # Skip the program name, which is in parentheses and may contain spaces.
  read -ra stat <<<"${stat##*) }"
  [ "${stat[0]}" != Z ] && [ "${stat[0]}" != X ] && echo "${stat[19]}"
}

# is_running NAME: true if the process is still running. The start time is compared because the
# system may have reused the process id.
is_running() {
  local pid="${process_ids[$1]:-}"
  [ -n "$pid" ] && [ "$(start_time "$pid")" = "${start_times[$1]}" ]
}

# signal_process NAME SIGNAL: sends a signal if the process is still running.
signal_process() {
  if is_running "$1"; then
    kill "-$2" "${process_ids[$1]}" 2>/dev/null || true
  fi
}

# load_processes: reads the process ids recorded by an earlier run; the last entry of each name
# applies.
load_processes() {
  local name pid start_ticks
  while read -r name pid start_ticks; do
    process_ids[$name]=$pid
    start_times[$name]=$start_ticks
  done <"$pids_file"
}

# await_end SECONDS NAME...: waits until all of the processes have ended; fails on timeout.
await_end() {
  local remaining_tenths=$(($1 * 10)) name running
  shift
  while [ "$remaining_tenths" -gt 0 ]; do
    running=0
    for name in "$@"; do
      if is_running "$name"; then
        running=1
      fi
    done
    [ "$running" -eq 0 ] && return 0
    sleep 0.1
    remaining_tenths=$((remaining_tenths - 1))
  done
  return 1
}

# stop_processes SECONDS NAME...: sends SIGTERM, then SIGKILL to those that are still
# running after the timeout. SIGCONT comes first, because a paused process does not handle SIGTERM.
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
        echo "$name did not end within $seconds s; sending SIGKILL" >&2
        signal_process "$name" KILL
      fi
    done
    await_end 5 "$@" || true
  fi
}

# stop_all: stops the upstreams first, because they drain through their daemons, then the traffic
# daemons and other processes, and the control daemons last.
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
