# Starts programs and stops them by their pids. Sourced by scripts/demo and the
# benches: needs $work (a folder of their own) and $bin (the built programs).
pids=()
names=()

# start NAME PROGRAM ARGUMENT... : its output goes to $work/NAME.out and .log.
start() {
  local name=$1 program=$2
  shift 2
  "$bin/$program" "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  names+=("$name")
  last_pid=$!
}

# Tells of programs that ended by themselves, with the end of their logs.
all_running() {
  local i
  for i in "${!pids[@]}"; do
    kill -0 "${pids[i]}" 2>/dev/null || tail -n 2 "$work/${names[i]}.log" >&2
  done
}

# Ends everything that start() started. Entries stop before the platform and
# the targets, as planned stops need both.
stop_all() {
  local pid entries=() others=()
  for pid in "${pids[@]}"; do
    if [[ "$(ps -o comm= -p "$pid" 2>/dev/null)" == samphire-entry ]]; then
      entries+=("$pid")
    else
      others+=("$pid")
    fi
  done
  end_each "${entries[@]}"
  end_each "${others[@]}"
  pids=()
  names=()
}

# Ends these processes, by force if they don't end by themselves.
end_each() {
  local pid
  for pid in "$@"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "$@"; do
    for _ in $(seq 200); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}

# http METHOD IP:PORT PATH [BODY] : prints the answer with its headers. A bare
# machine has no HTTP client, so the shell speaks it.
http() {
  local host=${2%:*} port=${2##*:} body=${4:-}
  exec 9<>"/dev/tcp/$host/$port" || return 1
  printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$3" "$2" "${#body}" "$body" >&9
  cat <&9
  exec 9>&-
}

# until_ok SECONDS COMMAND... : repeats a command until it succeeds.
until_ok() {
  local end=$(($(date +%s) + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s)" -lt "$end" ] || { echo "gave up waiting: $*" >&2; return 1; }
    sleep 0.1
  done
}

answers_200() { http GET "$1" "$2" 2>/dev/null | head -n 1 | grep -q ' 200 '; }

# The time that history events carry.
now_us() { echo $(($(date +%s%N) / 1000)); }
