# Shell functions that run a complete deployment of real processes on loopback.
# Sourced by tools/demo and tools/bench, which set $work to a scratch directory.
# start_fleet sets these variables:
#   gates pages runner_urls worker_urls log_url   lists separated by commas
#   teams                                         for bwload's load.teams

bin=build/bin
instance_zones=(a a a b b c c d d) # 9 entry instances over 4 zones.
pids=()

stop_fleet() {
  [ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  pids=()
}

run() { # run NAME BINARY ARGUMENT... : starts a process; output to $work/NAME.out
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>&1 &
  pids+=($!)
}

in_use() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

free_base() { # Prints the first of $1 consecutive ports; tests every 7th port.
  local base port free
  for base in $(shuf -i 10000-29000 -n 50); do
    free=1
    for ((port = base; port < base + $1; port += 7)); do
      in_use "$port" && free=0 && break
    done
    [ "$free" = 1 ] && echo "$base" && return
  done
  return 1
}

join() { local IFS=,; echo "$*"; }

instance_json() { # instance_json RUNNERS WORKERS CORES MEMORY_MB
  local n zones=(a b c d) out=()
  for ((n = 0; n < $1; n++)); do
    out+=("{\"name\":\"r$n\",\"kind\":\"runner\",\"zone\":\"${zones[n % 4]}\",\"address\":\"127.0.0.1:$((base + 100 + n))\",\"slots\":8,\"connections\":64}")
  done
  for ((n = 0; n < $2; n++)); do
    out+=("{\"name\":\"w$n\",\"kind\":\"worker\",\"zone\":\"${zones[n % 4]}\",\"address\":\"127.0.0.1:$((base + 1200 + n))\",\"cores\":$3,\"memory_mb\":$4,\"accelerators\":0,\"rack\":$((n / 6))}")
  done
  echo "{\"instances\":[$(join "${out[@]}")]}"
}

wait_for() { # wait_for SECONDS COMMAND... : retries until COMMAND succeeds
  local until=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$until" ] || { echo "Timed out: $*" >&2; return 1; }
    sleep 0.1
  done
}

get() { curl -sf --max-time 2 "$1"; }

all_ready() {
  local n
  for n in "${!instance_zones[@]}"; do
    get "http://127.0.0.1:$((base + 80 + n))/readyz" || return 1
    get "http://127.0.0.1:$((base + 60 + n))/readyz" || return 1
  done
  sleep 1
}

# start_fleet TEMPLATES RUNNERS WORKERS CORES MEMORY_MB
# CORES and MEMORY_MB are those of each worker.
start_fleet() {
  local templates=$1 runners=$2 workers=$3 cores=$4 memory=$5 n common
  base=$(free_base 2300)
  log_url=http://127.0.0.1:$base
  run log "$bin/bwfakelog" --set fake.listen=127.0.0.1:$base
  run list "$bin/bwfakelist" --set fake.listen=127.0.0.1:$((base + 1))
  [ "$runners" -eq 0 ] || run runners "$bin/bwfakerunner" \
    --set fake.listen=127.0.0.1:$((base + 100)) --set "fake.count=$runners"
  [ "$workers" -eq 0 ] || run workers "$bin/bwfakeworker" \
    --set fake.listen=127.0.0.1:$((base + 1200)) --set "fake.count=$workers" \
    --set "fake.cores=$cores" --set "fake.memory_mb=$memory"
  instance_json "$runners" "$workers" "$cores" "$memory" >"$work/instances.json"
  wait_for 10 curl -sf -d "@$work/instances.json" "http://127.0.0.1:$((base + 1))/control"
  wait_for 10 "$bin/bwctl" --set "platform.log=$log_url" publish "$templates"
  gates='' pages=''
  for n in "${!instance_zones[@]}"; do
    common=(--set "instance.name=e$n" --set "instance.zone=${instance_zones[n]}"
      --set "platform.log=$log_url")
    run "placer$n" "$bin/bwplacer" "${common[@]}" \
      --set "platform.list=http://127.0.0.1:$((base + 1))" \
      --set "mesh.listen=127.0.0.1:$((base + 10 + n))" \
      --set "status.listen=127.0.0.1:$((base + 60 + n))" \
      --set "timeline.file=$work/events-placer$n" ${placer_settings:-}
    run "gate$n" "$bin/bwgate" "${common[@]}" \
      --set "gate.listen=127.0.0.1:$((base + 40 + n))" \
      --set "status.listen=127.0.0.1:$((base + 80 + n))" \
      --set "timeline.file=$work/events-gate$n"
    gates+=,http://127.0.0.1:$((base + 40 + n))
    pages+=,http://127.0.0.1:$((base + 60 + n)),http://127.0.0.1:$((base + 80 + n))
  done
  gates=${gates#,} pages=${pages#,}
  runner_urls=$(for ((n = 0; n < runners; n++)); do printf ',http://127.0.0.1:%s' $((base + 100 + n)); done)
  worker_urls=$(for ((n = 0; n < workers; n++)); do printf ',http://127.0.0.1:%s' $((base + 1200 + n)); done)
  runner_urls=${runner_urls#,} worker_urls=${worker_urls#,}
  # TEAM:KEY:SHARE:WEIGHT. Keys and shares are those of the example templates;
  # the large teams submit most of the load.
  teams=norte:demo-norte:30:30,sur:demo-sur:25:30,costa:demo-costa:20:20,sierra:demo-sierra:10:8,pagos:demo-pagos:10:8,rutas:demo-rutas:5:4
  wait_for 30 all_ready
}

owner_of_b() { # Prints the instance number of zone b's owner, either e3 or e4.
  local n
  for n in 3 4; do
    get "http://127.0.0.1:$((base + 60 + n))/status" | grep -q '"acting":true' && echo "$n" && return
  done
  return 1
}

# Prints the pid of instance $1's placer. The first four processes are the
# stand-ins, if there are runners and workers; a placer and a gate for each
# instance follow.
placer_pid() { echo "${pids[4 + $1 * 2]}"; }

load() { # load SETTING... : runs bwload against the fleet
  local arguments=() it
  for it in "load.gates=$gates" "load.teams=$teams" "load.pages=$pages" \
    "load.runners=$runner_urls" "load.workers=$worker_urls" "$@"; do
    arguments+=(--set "$it")
  done
  "$bin/bwload" "${arguments[@]}" run
}
