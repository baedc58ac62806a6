# Checks the programs of platform/ of two builds beside each other, with the files of
# deploy/example. To be sourced by bin/mixed-builds.

# start_platform NAME BUILD: starts a machine of deploy/example in the folder of the run.
start_platform() {
  (
    cd "$run_folder"
    CORNELSPOKE_CONFIG="../../deploy/example/$1.toml" exec java $daemon_options \
      -cp "$2/platform/target/cornelspoke-platform.jar" org.cornelspoke.platform.PlatformMain
  ) >>"$run_folder/platform-$1.log" 2>&1 </dev/null &
  record_process "$1" "$!"
  disown "$!"
}

# platform_call CURL-ARGUMENTS...: prints the status code; stores head and body in platform-head and
# platform-body.
platform_call() {
  curl -s -m 5 -D "$run_folder/platform-head" -o "$run_folder/platform-body" \
    -w '%{http_code}' "$@" || true
}

sidecar_is_ready() {
  [ "$(platform_call http://127.0.0.2:8546/api/ready)" = 200 ]
}

configuration_is_replaced() {
  [ "$(platform_call -H 'X-Base-Version: 00000000' --data-binary @deploy/example/configuration.json \
    'http://127.0.0.1:8540/api/rpc?call=config.replace')" = 200 ]
}

configuration_is_kept() {
  [ "$(platform_call -X POST 'http://127.0.0.1:8540/api/rpc?call=config.get')" = 200 ] \
    && cmp -s "$run_folder/platform-body" deploy/example/configuration.json
}

key_is_known() {
  [ "$(platform_call -H 'Host: hello.example' -H 'Authorization: Token example-key' \
    http://127.0.0.2:8548/hello/1)" = 503 ] \
    && grep -qi "^cornelspoke-reason: no-target" "$run_folder/platform-head"
}

# check_platform: a core that is upgraded on its data, beside a sidecar of either build.
check_platform() {
  process_ids=() start_times=()
  echo "programs of platform/"
  start_platform core "$from"
  start_platform sidecar "$to"
  await 60 "configuration" configuration_is_replaced
  await 60 "sidecar" sidecar_is_ready
  await 30 "request" key_is_known
  passed "platform: a core of FROM serves a sidecar of TO"
  stop_processes 10 core
  start_platform core "$to"
  await 60 "configuration" configuration_is_kept
  await 60 "sidecar" sidecar_is_ready
  await 30 "request" key_is_known
  passed "platform: a core of TO takes over the data of FROM"
  stop_processes 10 sidecar
  start_platform sidecar "$from"
  await 60 "sidecar" sidecar_is_ready
  await 30 "request" key_is_known
  passed "platform: a core of TO serves a sidecar of FROM"
  stop_processes 10 sidecar core
}
