#!/usr/bin/env bash
# The store is down. A target leaves, and its node acknowledges that because a peer has a copy. All
# nodes are killed at the same moment and start again; then the store is back. A heartbeat from before
# the leaving arrives late. Does the node send requests to the target again?
# TROUBLE=0 does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
trouble=1
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=0
fi
source "$here/../stand_in_2/common.sh"

# Two machines in each zone.
declare -A regions=([baires-1]=baires [cba-1]=cba)
zones=(none baires-1 baires-1 cba-1 cba-1)
services=(none ordenes certs ordenes certs)
drain_ms=2500
stable_ms=3000

choose_ports
cat > "$work/config.json" << END
{"Version": 7,
 "Routes": {
  "r-1": {"Hostname": "ordenes.example", "Prefix": "/ordenes/", "Kind": "idempotent",
          "Timeout": "2000ms", "TargetLatency": "1000ms", "Priority": 1, "Service": "ordenes",
          "Attempts": 2},
  "r-2": {"Hostname": "certs.example", "Prefix": "/certs/", "Kind": "idempotent",
          "Timeout": "2000ms", "TargetLatency": "1000ms", "Priority": 1, "Service": "certs",
          "Attempts": 2}},
 "Services": {
  "ordenes": {"HealthPath": "/health", "MaxConnections": 390, "Protocol": "h1", "Tls": false},
  "certs": {"HealthPath": "/health", "MaxConnections": 390, "Protocol": "h1", "Tls": false}},
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms"}}
END
start_store
put_config "$work/config.json"
for number in 1 2 3 4; do
  write_boot "$number" "${zones[number]}" "${services[number]}" "$door_1"
  start_node "$number"
done
for number in 1 2 3 4; do wait_ready "$number"; done
for number in 1 2 3 4; do
  start_target "$number" "i-$number" "${services[number]}" "${zones[number]}" 20
done
sleep 6 # The machines are in touch: they run undisturbed for more than StableWindow.

for try in 1 2 3; do request 1 "before-$try" GET ordenes.example "/ordenes/$try" > /dev/null; done
grep -q "run id=before" "$work/runs-1.txt" || give_up "the target got no request before it left"

if [ "$trouble" = 1 ]; then
  set_door 1 busy
  note "the store is down, it answers 503"
  sleep 0.5
fi
note "target i-1 is told to leave"
kill -USR1 "${target_pids[1]}"
until grep -q "deregistered status=200" "$work/runs-1.txt"; do
  ((++waits > 100)) && give_up "the leaving was not acknowledged"
  sleep 0.05
done
acknowledged=$(sed -n 's/^\([0-9]*\) .*deregistered status=200.*/\1/p' "$work/runs-1.txt")
note "node 1 acknowledged at $acknowledged that target i-1 is gone"

restarted=$(now_ms)
if [ "$trouble" = 1 ]; then
  wait_until $((acknowledged + 300))
  for number in 1 2 3 4; do kill -KILL "${node_pids[$number]}"; done
  note "all nodes are killed"
  sleep 0.3
  for number in 1 2 3 4; do start_node "$number"; done
  restarted=$(now_ms)
  note "all nodes are started again"
  wait_until $((acknowledged + 1000))
  set_door 1 ok
  note "the store is back"
  for number in 1 2 3 4; do wait_ready "$number"; done
fi
until grep -q "late-heartbeat" "$work/runs-1.txt"; do
  ((++waits > 300)) && give_up "the late heartbeat was not sent"
  sleep 0.05
done

# All disturbances are over for more than StableWindow, and Drain is over.
wait_until $((acknowledged + 2600 + stable_ms + 600))
(($(now_ms) - restarted > stable_ms)) || give_up "node 1 took too long to start"
served=0
for try in 1 2 3 4 5 6 7 8 9 10; do
  [ "$(request 1 "after-$try" GET ordenes.example "/ordenes/after-$try")" = 200 ] && ((++served))
done
kill -KILL "${target_pids[1]}"
note "target i-1 exits"

sort -n "$work"/runs-*.txt >> "$record"
grep -h '"what":"recovered"' "$work/node-1.log" | sed 's/^/log of node 1: /' >> "$record"
late=$(awk -v limit=$((acknowledged + drain_ms)) '/ run id=/ && $1 > limit' "$work/runs-1.txt" | wc -l)
note "requests that reached target i-1 later than Drain after the acknowledgement: $late of 10; served: $served"
((served > 0)) || give_up "no request was served afterwards"
((late == 0)) || exit 1
