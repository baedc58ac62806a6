# Starts and configures a deployment of local processes. Source it after processes.sh, from
# the root of the repository.

bench_java=(java -XX:+UseSerialGC -Xshare:auto)
bench_jar="cornelspoke-bench/target/cornelspoke-bench.jar"
# With 16 daemons on one machine, a short start-up matters more than peak throughput.
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

# ctl ARGUMENTS...: runs cornelspokectl as the bootstrap operator.
ctl() {
  CORNELSPOKE_ENDPOINTS="$(cat "$run_folder/admin-endpoints")" \
    bin/cornelspokectl --token-file "$run_folder/operator-token" "$@"
}

# process_names ROLE: prints the names of the processes with this role.
process_names() {
  awk -F'\t' -v role="$1" '$1 == role { print $2 }' "$run_folder/processes.tsv"
}

# start_daemon NAME: starts a control or traffic daemon.
start_daemon() {
  JDK_JAVA_OPTIONS="$daemon_options" start_process "$1" \
    bin/cornelspoked --settings "$run_folder/$1.json"
}

# start_upstream NAME: starts all stand-in upstreams of one service in one process.
start_upstream() {
  JDK_JAVA_OPTIONS="$upstream_options" start_process "$1" \
    java -jar "$bench_jar" upstream --config "$run_folder/$1.json"
}

# Latest value of SECONDS at which `await` gives up. Start-up takes 5 to 8 s on an idle machine; the
# demo must always end within 60 s.
startup_deadline=25

# await SECONDS DESCRIPTION COMMAND...: repeats the command until it succeeds and appends its output
# to await.log. Exits with an error at the timeout or at startup_deadline, whichever is earlier.
await() {
  local deadline=$((SECONDS + $1)) description="$2"
  shift 2
  [ "$deadline" -le "$startup_deadline" ] || deadline="$startup_deadline"
  until "$@" >>"$run_folder/await.log" 2>&1; do
    check_running
    [ "$SECONDS" -lt "$deadline" ] ||
      fail "$description: not ready in time; see the logs in $run_folder"
    sleep 0.2
  done
}

# check_running: exits with an error if a process that should be running has exited.
check_running() {
  local name
  for name in "${!process_ids[@]}"; do
    if ! is_running "$name"; then
      tail -n 5 "$run_folder/$name.log" >&2 || true
      fail "process $name exited unexpectedly"
    fi
  done
}

# is_healthy NAME: true if the health endpoint of the daemon reports success.
is_healthy() {
  local admin
  admin="$(awk -F'\t' -v name="$1" '$2 == name { print $3 }' "$run_folder/processes.tsv")"
  curl -sf -m 2 -o "$run_folder/health-$1" "http://$admin/healthz"
}

all_healthy() {
  local name
  for name in $(process_names traffic); do
    is_healthy "$name" || return 1
  done
}

# all_registered: true if the control group reports every target as UP.
all_registered() {
  local up
  up="$(ctl upstream list --json | grep -o '"state" *: *"UP"' | wc -l)"
  [ "$up" -eq "$(process_names traffic | wc -l)" ]
}

has_quorum() {
  ctl status --timeout-millis 2000
}

# configure: creates accounts and routes, then keys, with eight calls in parallel.
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

# start_deployment NAME KEYS-PER-ACCOUNT: writes the deployment files, starts every process,
# configures the accounts and waits until all targets are registered and healthy.
start_deployment() {
  bench deployment --deployment "$1" --run-folder "$run_folder" --keys-per-account "$2"
  local name
  SECONDS=0
  echo "starting $(process_names control | wc -l) control daemons," \
    "$(process_names traffic | wc -l) traffic daemons and stand-in upstreams; files in $run_folder"
  for name in $(process_names control) $(process_names traffic) $(process_names upstream); do
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
