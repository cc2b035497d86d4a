# One deployment of the demo. Sourced by scripts/demo after processes.sh.
# deploy NAME NET REGION... : 4+3+3 entries at 127.0.NET+i.n, the platform at
# 127.0.NET.1, the targets where examples/NAME.json says.
deploy() {
  local name=$1 net=$2 i n address
  shift 2
  regions=("$@")
  declaration=examples/$name.json
  platform=127.0.$net.1:7000
  entries=() entry_pids=() operators=() peers=()
  local counts=(4 3 3)
  start "$name-platform" samphire-platform --listen="$platform"
  local platform_pid=$last_pid
  until_ok 10 answers_200 "$platform" /v1/instances
  start "$name-targets" samphire-target --declaration="$declaration" \
    --service_ms=10 --cold_requests=20 --cold_factor=3 --history="$history"
  local targets_pid=$last_pid
  until_ok 10 test -s "$work/$name-targets.out"
  for i in 0 1 2; do
    for ((n = 1; n <= counts[i]; n++)); do
      entries+=("127.0.$((net + i + 1)).$n:8080")
      operators+=("127.0.$((net + i + 1)).$n:8081")
      peers+=("127.0.$((net + i + 1)).$n:8082")
    done
  done
  register_targets
  for n in "${!entries[@]}"; do
    i=$((n < 4 ? 0 : n < 7 ? 1 : 2))
    write_settings "$name" "$n" "${regions[i]}"
    http PUT "$platform" "/v1/instances/$name-entry-$n" \
      "{\"name\":\"$name-entry-$n\",\"role\":\"entry\",\"address\":\"${peers[n]}\",\"region\":\"${regions[i]}\",\"failure_domain\":\"${regions[i]}-$(domain_letter "$n")\",\"state\":\"live\"}" >/dev/null
    start "$name-entry-$n" samphire-entry --settings="$work/$name-entry-$n.json"
    entry_pids+=("$last_pid")
  done
  until_ok 40 apply_declaration
  for address in "${entries[@]}"; do
    until_ok 30 answers_200 "$address" /readyz || { all_running; return 1; }
  done
  write_addresses "$name" "$platform_pid" "$targets_pid"
}

domain_letter() { [ $(($1 % 2)) = 0 ] && echo a || echo b; }

# The platform lists the targets too, as its own machines would.
register_targets() {
  local line service target region domain address
  grep -o '{"name":[^}]*}' "$work/$name-targets.out" |
    sed -E 's/\{"name":"([^"]*)","service":"([^"]*)","region":"([^"]*)","failure_domain":"([^"]*)","address":"([^"]*)"\}/\1 \2 \3 \4 \5/' |
    while read -r target service region domain address; do
      http PUT "$platform" "/v1/instances/$service.$target" \
        "{\"name\":\"$service.$target\",\"role\":\"target\",\"address\":\"$address\",\"region\":\"$region\",\"failure_domain\":\"$domain\",\"state\":\"live\"}" >/dev/null
    done
}

write_settings() {
  local name=$1 n=$2 region=$3 seeds="" other
  for other in 0 4 7; do
    [ "$other" = "$n" ] || seeds="$seeds${seeds:+,}\"${peers[other]}\""
  done
  cat >"$work/$name-entry-$n.json" <<JSON
{"instance": "$name-entry-$n", "region": "$region", "failure_domain": "$region-$(domain_letter "$n")",
 "caller_address": "${entries[n]}", "operator_address": "${operators[n]}", "peer_address": "${peers[n]}",
 "platform_addresses": ["$platform"], "seeds": [$seeds],
 "peer_key_file": "$work/peer.key", "operator_token_file": "$work/token",
 "max_connections": 400, "header_timeout_ms": 5000, "idle_timeout_ms": 30000}
JSON
}

ctl() {
  "$bin/samphirectl" --operator_url="$(printf 'http://%s,' "${operators[@]}" | sed 's/,$//')" \
    --token_file="$work/token" --operator=demo "$@"
}

# Notes in the history when a change was accepted; the answer is in FILE.
note_accepted() {
  local time_us=$1 version
  version=$(grep -oE '"version": ?[0-9]+' "$2" | head -n 1 | grep -oE '[0-9]+$') || return 0
  echo "{\"event\":\"config-accepted\",\"time_us\":$time_us,\"version\":$version}" >>"$history"
}

apply_declaration() {
  local time_us
  time_us=$(now_us)
  ctl --output=json apply "$declaration" --wait >"$work/$name-apply.out" &&
    note_accepted "$time_us" "$work/$name-apply.out"
}

# One line a program, for people and scripts that look in while it runs.
write_addresses() {
  local n
  {
    echo "  {\"program\":\"samphire-platform\",\"deployment\":\"$1\",\"pid\":$2,\"address\":\"$platform\"}"
    echo "  {\"program\":\"samphire-target\",\"deployment\":\"$1\",\"pid\":$3,\"targets\":$(sed 's/^{"targets"://; s/}$//' "$work/$1-targets.out")}"
    for n in "${!entries[@]}"; do
      echo "  {\"program\":\"samphire-entry\",\"deployment\":\"$1\",\"pid\":${entry_pids[n]},\"instance\":\"$1-entry-$n\",\"address\":\"${entries[n]}\",\"operator_address\":\"${operators[n]}\",\"peer_address\":\"${peers[n]}\"}"
    done
  } >>"$work/address-lines"
  { echo "["; sed '$!s/$/,/' "$work/address-lines"; echo "]"; } >"$work/addresses.json"
}

# The number of the entry that callers have used most so far.
busiest_entry() {
  local n most=-1 number=0 count
  for n in "${!entries[@]}"; do
    count=$(grep -c "\"event\":\"request-sent\".*\"entry\":\"${entries[n]}\"" "$history" || true)
    if [ "$count" -gt "$most" ]; then
      most=$count
      number=$n
    fi
  done
  echo "$number"
}

# What an operator does during the load: one target is drained, one entry is
# stopped as planned, and the last region's targets are drained, so that its
# callers' work moves to the others, under the caps on shifted work.
operate() {
  local name=$1 target=$2 time_us busiest stop_pid
  sleep 4
  time_us=$(now_us)
  if ctl --output=json drain add demo-drain --scope=target --subject="$target" \
    --starts_at="$(date -u -d '+1 second' +%FT%TZ)" \
    --deadline="$(date -u -d '+120 seconds' +%FT%TZ)" >"$work/$name-drain.out" 2>&1; then
    note_accepted "$time_us" "$work/$name-drain.out"
    echo "{\"event\":\"target-leaving\",\"time_us\":$((time_us + 1000000)),\"target\":\"$target\",\"leaving\":true}" >>"$history"
  fi
  sleep 3
  busiest=$(busiest_entry)
  stop_pid=${entry_pids[busiest]}
  echo "{\"event\":\"planned-stop\",\"time_us\":$(now_us),\"subject\":\"${entries[busiest]}\",\"over\":false}" >>"$history"
  kill -TERM "$stop_pid"
  while kill -0 "$stop_pid" 2>/dev/null; do sleep 0.05; done
  echo "{\"event\":\"planned-stop\",\"time_us\":$(now_us),\"subject\":\"${entries[busiest]}\",\"over\":true}" >>"$history"
  time_us=$(now_us)
  if ctl --output=json drain add demo-region --scope=region --subject="${regions[-1]}" \
    --starts_at="$(date -u -d '+1 second' +%FT%TZ)" \
    --deadline="$(date -u -d '+120 seconds' +%FT%TZ)" >"$work/$name-region.out" 2>&1; then
    note_accepted "$time_us" "$work/$name-region.out"
  fi
}
