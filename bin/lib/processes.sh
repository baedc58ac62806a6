# Starts local processes, remembers their ids and ends exactly those. To be sourced; the caller sets
# run_folder to a folder that every command line of a started process contains.

declare -A process_ids=()
pids_file="$run_folder/pids"

# start_process NAME COMMAND...: runs the command in the background, with output to NAME.log.
start_process() {
  local name="$1"
  shift
  "$@" >>"$run_folder/$name.log" 2>&1 </dev/null &
  process_ids[$name]=$!
  printf '%s %s\n' "$name" "$!" >>"$pids_file"
}

# is_own PID: true if the process still runs and belongs to the run folder, so that an id that the
# system has given to another process is never used.
is_own() {
  [ -r "/proc/$1/cmdline" ] && tr '\0' ' ' <"/proc/$1/cmdline" 2>/dev/null | grep -qF "$run_folder/"
}

# signal_process NAME SIGNAL: sends a signal if the process still runs.
signal_process() {
  local pid="${process_ids[$1]:-}"
  if [ -n "$pid" ] && is_own "$pid"; then
    kill "-$2" "$pid" 2>/dev/null || true
  fi
}

# load_processes: reads the ids of an earlier script; the last id of each name counts.
load_processes() {
  local name pid
  while read -r name pid; do
    process_ids[$name]=$pid
  done <"$pids_file"
}

# await_end SECONDS NAME...: waits until none of the processes runs; fails when the time is over.
await_end() {
  local tenths=$(($1 * 10)) name running
  shift
  while [ "$tenths" -gt 0 ]; do
    running=0
    for name in "$@"; do
      if is_own "${process_ids[$name]:-0}"; then
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
      if is_own "${process_ids[$name]:-0}"; then
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
