# Starts and configures a deployment of local processes. To be sourced after processes.sh, from the
# root of the repository.

bench_java=(java -XX:+UseSerialGC -Xshare:auto)
bench_jar="cornelspoke-bench/target/cornelspoke-bench.jar"
# Short start-up counts more than peak speed where 16 daemons share one machine.
daemon_options="-XX:+UseSerialGC -Xmx64m -XX:TieredStopAtLevel=1 -Xshare:auto"
upstream_options="-XX:+UseSerialGC -Xmx128m -XX:TieredStopAtLevel=1"

fail() {
  echo "$*" >&2
  exit 1
}

# build_if_needed: builds the jars unless all of them are newer than the sources.
build_if_needed() {
  local jar
  for jar in cornelspoke-daemon/target/cornelspoke-daemon.jar \
    cornelspoke-ctl/target/cornelspoke-ctl.jar "$bench_jar"; do
    if [ ! -f "$jar" ] || [ -n "$(find cornelspoke-*/src/main cornelspoke-*/pom.xml pom.xml \
      -newer "$jar" -type f -print -quit)" ]; then
      echo "building"
      bin/build
      return 0
    fi
  done
}

# bench COMMAND...: runs a command of the bench jar.
bench() {
  "${bench_java[@]}" -jar "$bench_jar" "$@"
}

# ctl ARGUMENTS...: runs the operators' tool as the bootstrap operator.
ctl() {
  CORNELSPOKE_ENDPOINTS="$(cat "$run_folder/admin-endpoints")" \
    bin/cornelspokectl --token-file "$run_folder/operator-token" "$@"
}

# names ROLE: prints the names of the processes with the role.
names() {
  awk -F'\t' -v role="$1" '$1 == role { print $2 }' "$run_folder/processes.tsv"
}

# start_daemon NAME: starts a control or traffic daemon.
start_daemon() {
  JDK_JAVA_OPTIONS="$daemon_options" start_process "$1" \
    bin/cornelspoked --settings "$run_folder/$1.json"
}

# start_upstream NAME: starts the stand-ins of one service in one process.
start_upstream() {
  JDK_JAVA_OPTIONS="$upstream_options" start_process "$1" \
    java -jar "$bench_jar" upstream --config "$run_folder/$1.json"
}

# Start-up takes 5 to 8 s on a quiet machine; the demo must end within 60 s in every case.
startup_limit=25

# await SECONDS WHAT COMMAND...: repeats the command until it succeeds; its output is in await.log.
await() {
  local end=$((SECONDS + $1)) what="$2"
  shift 2
  [ "$end" -le "$startup_limit" ] || end="$startup_limit"
  until "$@" >>"$run_folder/await.log" 2>&1; do
    check_running
    [ "$SECONDS" -lt "$end" ] || fail "$what: not ready in time; see the logs in $run_folder"
    sleep 0.2
  done
}

check_running() {
  local name
  for name in "${!process_ids[@]}"; do
    if ! is_running "$name"; then
      tail -n 5 "$run_folder/$name.log" >&2 || true
      fail "$name has ended"
    fi
  done
}

# is_healthy NAME: true if the daemon says that it does its work.
is_healthy() {
  local admin
  admin="$(awk -F'\t' -v name="$1" '$2 == name { print $3 }' "$run_folder/processes.tsv")"
  curl -sf -m 2 -o "$run_folder/health-$1" "http://$admin/healthz"
}

all_healthy() {
  local name
  for name in $(names traffic); do
    is_healthy "$name" || return 1
  done
}

# all_registered: true if the control group knows every target as up.
all_registered() {
  local up
  up="$(ctl upstream list --json | grep -o '"state" *: *"UP"' | wc -l)"
  [ "$up" -eq "$(names traffic | wc -l)" ]
}

has_quorum() {
  ctl status --timeout-millis 2000
}

# configure: creates accounts and routes, then keys, eight calls at a time.
configure() {
  export run_folder
  export CORNELSPOKE_ENDPOINTS
  CORNELSPOKE_ENDPOINTS="$(cat "$run_folder/admin-endpoints")"
  timeout 20 xargs -P 8 -L 1 bin/cornelspokectl --token-file "$run_folder/operator-token" \
    <"$run_folder/ctl-commands" >"$run_folder/configure.log" || fail "configuration failed"
  mkdir -p "$run_folder/keys"
  timeout 20 xargs -P 8 -L 1 sh -c 'bin/cornelspokectl --token-file "$run_folder/operator-token" --json \
    key give "$0" --key-id "$1" >"$run_folder/keys/$1.json"' \
    <"$run_folder/ctl-keys" || fail "giving keys failed"
  chmod -R go-rwx "$run_folder/keys"
}

# start_deployment NAME KEYS-PER-ACCOUNT: writes the files, starts every process and waits for it.
start_deployment() {
  bench deployment --deployment "$1" --run-folder "$run_folder" --keys-per-account "$2"
  local name
  SECONDS=0
  echo "starting $(names control | wc -l) control daemons, $(names traffic | wc -l) traffic daemons" \
    "and stand-in upstreams; files in $run_folder"
  for name in $(names control) $(names traffic) $(names upstream); do
    case "$name" in
      upstream-*) start_upstream "$name" ;;
      *) start_daemon "$name" ;;
    esac
  done
  await 20 "control group" has_quorum
  echo "control group is ready after $SECONDS s"
  configure
  echo "$(wc -l <"$run_folder/ctl-commands") accounts and routes and" \
    "$(wc -l <"$run_folder/ctl-keys") keys are configured after $SECONDS s"
  await 15 "targets" all_registered
  await 10 "traffic daemons" all_healthy
  echo "every target is registered and healthy after $SECONDS s"
}
