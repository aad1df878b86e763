#!/usr/bin/env bash
# A client sends an order whose body looks like a request. In the head of the order stands a blank
# before the colon of Content-Length. Does a target run what stands in the body?
# TROUBLE=0 does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
trouble=1
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=0
fi
source "$here/../stand_in_2/common.sh"

declare -A regions=([baires-1]=baires [cba-1]=cba)

choose_ports
cat > "$work/config.json" << END
{"Version": 7,
 "Routes": {
  "r-1": {"Hostname": "ordenes.example", "Prefix": "/ordenes/", "Kind": "non_idempotent",
          "Timeout": "2000ms", "TargetLatency": "1000ms", "Priority": 1, "Service": "ordenes",
          "Attempts": 2}},
 "Services": {
  "ordenes": {"HealthPath": "/health", "MaxConnections": 390, "Protocol": "h1", "Tls": false}},
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms"}}
END
start_store
put_config "$work/config.json"
write_boot 1 baires-1 ordenes "$door_1"
write_boot 2 cba-1 ordenes "$door_1"
for number in 1 2; do start_node "$number"; done
for number in 1 2; do wait_ready "$number"; done
start_target 1 i-1 ordenes baires-1 20
start_target 2 i-2 ordenes cba-1 20
sleep 5

[ "$(request 1 before POST ordenes.example /ordenes/before --data x)" = 200 ] ||
  give_up "an ordinary order was not served"

blank=""
[ "$trouble" = 1 ] && blank=" "
answered=0
for try in 1 2 3 4 5; do
  inner=$(printf 'POST /ordenes/inner HTTP/1.1\r\nHost: ordenes.example\r\nX-Bamboohoist-Attempt-Id: inner-%s\r\nX-Bamboohoist-Deadline-Remaining: 4000\r\nContent-Length: 0\r\n\r\n.' "$try")
  inner=${inner%.}
  note "client machine=1 sends id=outer-$try POST /ordenes/outer, a body of ${#inner} bytes"
  exec 3<> "/dev/tcp/$(ip_of 1)/$outbound" || give_up "no connection to node 1"
  printf 'POST /ordenes/outer HTTP/1.1\r\nHost: ordenes.example\r\nX-Bamboohoist-Attempt-Id: outer-%s\r\nX-Bamboohoist-Deadline-Remaining: 4000\r\nContent-Length%s: %s\r\n\r\n%s' \
    "$try" "$blank" "${#inner}" "$inner" >&3
  while IFS= read -r -t 1 line <&3; do
    line=${line%$'\r'}
    case $line in
      *HTTP/1.1\ *)
        ((++answered))
        note "client machine=1 reads ${line##*HTTP/1.1 }"
        ;;
      X-Bamboohoist-* | x-bamboohoist-*) note "client machine=1 reads $line" ;;
    esac
  done
  exec 3>&-
done

sort -n "$work"/runs-*.txt >> "$record"
smuggled=$(cat "$work"/runs-*.txt | grep -c ' run id=inner-')
note "requests that stood in the body of another and were run: $smuggled of 5"
((answered >= 5)) || give_up "the client got no answers"
((smuggled == 0)) || exit 1
