#!/usr/bin/env bash
# Checks that --check exits with status 2 and one line of output for invalid settings or properties,
# and with status 0 for valid ones.
set -u
program=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
fail() { echo "FAILED: $1"; exit 1; }

cat > "$dir/good.json" <<'JSON'
{"member":"stile-0","site":"a","bind":"127.0.0.1:18080","peer_bind":"127.0.0.1:18081",
 "siblings":[{"member":"stile-1","site":"b","peer_addr":"127.0.0.1:18082"}],
 "services":{"cloud":"127.0.0.1:18443","state":"127.0.0.1:12379"},
 "settings":{"zones":["a","b"],"teams":[{"name":"ops"}],"unheard_of":1,
 "workers":{"report_s":1,"lease_s":10,"cancel_s":35},
 "state":{"rps":250,"write_rps":40,"value_kb":8,"txn_ops":32},
 "cloud":{"rps":6,"list_lag_s":3},"machine_limits":{"sockets":600},"time_bound_ms":100}}
JSON
"$program" --check --config "$dir/good.json" || fail "valid settings were rejected"

# Usage: expect_rejection MESSAGE ARGUMENT...
# Runs the program with the arguments; expects status 2 and one line that matches MESSAGE.
expect_rejection() {
  local message=$1
  shift
  local output
  output=$("$program" --check "$@" 2>&1)
  [ $? -eq 2 ] || fail "$message: the exit status is not 2"
  [ "$(wc -l <<< "$output")" -eq 1 ] || fail "$message: the output is not one line"
  grep -q -- "$message" <<< "$output" || fail "expected the message \"$message\", got \"$output\""
}

sed 's/"127.0.0.1:18080"/"nowhere"/' "$dir/good.json" > "$dir/bad.json"
expect_rejection 'bind: expected IPv4:PORT, got "nowhere"' --config "$dir/bad.json"
sed 's/"lease_s":10/"lease_s":0/' "$dir/good.json" > "$dir/bad.json"
expect_rejection 'lease_s: expected a number above 0' --config "$dir/bad.json"
sed 's/"lease_s":10/"lease_s":35/' "$dir/good.json" > "$dir/bad.json"
expect_rejection 'lease_s: expected less than cancel_s (both in seconds), got 35' \
  --config "$dir/bad.json"
sed 's/"report_s":1,/"report_s":10,/' "$dir/good.json" > "$dir/bad.json"
expect_rejection 'report_s: expected less than lease_s (both in seconds), got 10' \
  --config "$dir/bad.json"
sed 's/"sockets":600/"sockets":10/' "$dir/good.json" > "$dir/bad.json"
expect_rejection 'sockets: expected at least 11 sockets' --config "$dir/bad.json"
sed 's/"sockets":600/"sockets":600,"ram_mb":0/' "$dir/good.json" > "$dir/bad.json"
expect_rejection 'ram_mb: expected a number above 0' --config "$dir/bad.json"
sed 's/"sockets":600/"sockets":600,"core_share":0/' "$dir/good.json" > "$dir/bad.json"
expect_rejection 'core_share: expected a number above 0' --config "$dir/bad.json"
# Usage: write_settings_with_next VALUE FILE
# Writes the valid settings to FILE, with VALUE as `next`, the state service's announced limits.
write_settings_with_next() {
  sed "s/\"txn_ops\":32/\"txn_ops\":32,\"next\":$1/" "$dir/good.json" > "$dir/$2"
}
write_settings_with_next '{"value_kb":2,"txn_ops":8}' next.json
"$program" --check --config "$dir/next.json" \
  || fail "valid settings with announced limits were rejected"
write_settings_with_next '{"value_kb":0}' bad.json
expect_rejection 'value_kb: expected a number above 0' --config "$dir/bad.json"
write_settings_with_next 7 bad.json
expect_rejection 'next: expected an object' --config "$dir/bad.json"
write_settings_with_next '{"txn_ops":1}' bad.json
expect_rejection 'txn_ops: expected at least 2' --config "$dir/bad.json"
sed 's/"lease_s":10/"lease_s":10,"gang_wait_s":-1,"gang_peer_s":6/' "$dir/good.json" > "$dir/bad.json"
expect_rejection 'gang_wait_s out of range' --config "$dir/bad.json"
sed 's/"lease_s":10/"lease_s":10,"gang_wait_s":40,"gang_peer_s":0/' "$dir/good.json" > "$dir/bad.json"
expect_rejection 'gang_peer_s: expected a number above 0' --config "$dir/bad.json"
echo '{' > "$dir/bad.json"
expect_rejection 'not JSON' --config "$dir/bad.json"
expect_rejection 'absent.json: cannot open the settings file for reading' \
  --config "$dir/absent.json"
echo 'fleet.idle-keep = 3' > "$dir/bad.properties"
expect_rejection 'unknown key fleet.idle-keep, the most similar known key is fleet.idle-keep-s' \
  --config "$dir/good.json" \
  --properties "$dir/bad.properties"
echo 'fleet.idle-keep-s = soon' > "$dir/bad.properties"
expect_rejection 'fleet.idle-keep-s: expected a number from 0.0* to 3600.0*, got "soon"' \
  --config "$dir/good.json" \
  --properties "$dir/bad.properties"
echo 'fleet.idle-keep-s = 30' > "$dir/good.properties"
"$program" --check --config "$dir/good.json" --properties "$dir/good.properties" \
  || fail "valid properties were rejected"
echo "settings checked"
