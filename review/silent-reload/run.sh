#!/usr/bin/env bash
# The settings file of a machine changes without a signal: its target now belongs to another service.
# With which caller's service do requests of this machine run, sent later than ConfigApply after the
# change?
# TROUBLE=0 does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
trouble=1
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=0
fi
source "$here/../stand_in_2/common.sh"

declare -A regions=([baires-1]=baires [cba-1]=cba)
config_apply_ms=2500
between_changes_ms=6700

choose_ports
cat > "$work/config.json" << END
{"Version": 7,
 "Routes": {
  "r-1": {"Hostname": "certs.example", "Prefix": "/certs/", "Kind": "idempotent",
          "Timeout": "2000ms", "TargetLatency": "1000ms", "Priority": 1, "Service": "certs",
          "Attempts": 2}},
 "Services": {
  "ordenes": {"HealthPath": "/health", "MaxConnections": 390, "Protocol": "h1", "Tls": false},
  "cotiza": {"HealthPath": "/health", "MaxConnections": 390, "Protocol": "h1", "Tls": false},
  "certs": {"HealthPath": "/health", "MaxConnections": 390, "Protocol": "h1", "Tls": false}},
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms"}}
END
start_store
put_config "$work/config.json"
write_boot 1 baires-1 ordenes "$door_1"
write_boot 2 cba-1 certs "$door_1"
for number in 1 2; do start_node "$number"; done
for number in 1 2; do wait_ready "$number"; done
start_target 1 i-1 ordenes baires-1 20
start_target 2 i-2 certs cba-1 20
sleep 5

wrong=0
checked=0
# check ID SERVICE: the request with this id ran once, with this caller's service.
check() {
  local line
  line=$(grep " run id=$1 " "$work/runs-2.txt") || give_up "request $1 was not run"
  ((++checked))
  case $line in
    *" caller=$2 "*) ;;
    *)
      ((++wrong))
      note "request $1 ran with another service than $2: $line"
      ;;
  esac
}

for try in 1 2 3; do
  [ "$(request 1 "before-$try" GET certs.example "/certs/$try")" = 200 ] ||
    give_up "a request before the change was not served"
  check "before-$try" ordenes
done

# Three changes, at different distances from what the node does periodically.
service=ordenes
changed=$(now_ms)
for change in 1 2 3; do
  if [ "$trouble" = 1 ]; then
    [ "$service" = ordenes ] && service=cotiza || service=ordenes
    kill -KILL "${target_pids[1]}"
    write_boot 1 baires-1 "$service" "$door_1"
    changed=$(now_ms)
    note "the settings file of machine 1 now names the service $service; there was no signal"
    start_target 1 "i-1-$change" "$service" baires-1 20
  else
    changed=$(now_ms)
  fi
  for try in 1 2 3 4 5 6 7 8; do
    wait_until $((changed + config_apply_ms + 50 + 300 * try))
    id=change-$change-$try
    [ "$(request 1 "$id" GET certs.example "/certs/$id")" = 200 ] && check "$id" "$service"
  done
  wait_until $((changed + between_changes_ms))
done

sort -n "$work"/runs-*.txt >> "$record"
grep -h 'settings read again' "$work/node-1.log" | sed 's/^/log of node 1: /' >> "$record"
note "requests that ran with a service that is not that of their machine: $wrong of $checked"
((checked > 20)) || give_up "too few requests were served"
((wrong == 0)) || exit 1
