#!/usr/bin/env bash
# Starts or stops a small fleet of separate processes on the loopback interface. Logs, settings and process IDs are in .run/.
#
# Usage: scripts/fleet.sh up|down
#
# With TLS=1 in the environment, all listeners and calls between entry hosts and side
# processes use TLS, with certificates that are created in .run/tls/.
set -euo pipefail
cd "$(dirname "$0")/.."
run=.run
platform=127.0.0.1:7000
operator_key=operator-key
caller_key=caller-key

scheme=http
tls_settings=
authority=()

# make_certificates creates a certificate authority and a certificate for the loopback address.
make_certificates() {
  mkdir -p "$run/tls"
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -days 1 -subj /CN=demo-authority \
    -keyout "$run/tls/authority.key" -out "$run/tls/authority.pem" 2>/dev/null
  openssl req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -subj /CN=demo-host \
    -keyout "$run/tls/host.key" -out "$run/tls/host.csr" 2>/dev/null
  openssl x509 -req -days 1 -in "$run/tls/host.csr" -CA "$run/tls/authority.pem" -CAkey "$run/tls/authority.key" \
    -CAcreateserial -extfile <(echo subjectAltName=IP:127.0.0.1) -out "$run/tls/host.pem" 2>/dev/null
  scheme=https
  authority=(--cacert "$run/tls/authority.pem")
  export LAVENDERCTL_AUTHORITY_FILE="$run/tls/authority.pem"
  tls_settings=", \"TLS\": {\"CertificateFile\": \"$run/tls/host.pem\", \"KeyFile\": \"$run/tls/host.key\", \"AuthorityFile\": \"$run/tls/authority.pem\"}"
}

# hash_of prints the hash under which settings and configurations store an API key.
hash_of() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# start NAME COMMAND... starts a process in the background and records its process ID and name.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  echo "$! $name" >>"$run/pids"
}

start_side() {
  local server=$1 port=$2 backend=$3 centre=$4
  cat >"$run/side-$server.json" <<JSON
{
  "HostID": "side-$server",
  "DataCentre": "$centre",
  "BackendServer": "$server",
  "Address": "127.0.0.1:$port",
  "BackendAddress": "http://$backend",
  "PlatformAddress": "http://$platform"$tls_settings
}
JSON
  start "side-$server" bin/lavenderswitch-side run --settings "$run/side-$server.json"
}

start_entry() {
  local number=$1 centre=$2
  cat >"$run/entry-$number.json" <<JSON
{
  "HostID": "entry-$number",
  "DataCentre": "$centre",
  "CallerAddress": "127.0.0.1:730$number",
  "OperatorAddress": "127.0.0.1:740$number",
  "PeerAddress": "127.0.0.1:750$number",
  "PlatformAddress": "http://$platform",
  "OperatorKeyHashes": ["$(hash_of $operator_key)"]$tls_settings
}
JSON
  start "entry-$number" bin/lavenderswitch-entry run --settings "$run/entry-$number.json"
}

# list_hosts prints the host list of the platform.
list_hosts() {
  cat <<JSON
{"Hosts": [
  {"ID": "entry-1", "Role": "Entry", "Address": "127.0.0.1:7501", "DataCentre": "centre-a"},
  {"ID": "entry-2", "Role": "Entry", "Address": "127.0.0.1:7502", "DataCentre": "centre-b"},
  {"ID": "side-engine-1", "Role": "Side", "Address": "127.0.0.1:7201", "DataCentre": "centre-a", "BackendServer": "engine-1"},
  {"ID": "side-engine-2", "Role": "Side", "Address": "127.0.0.1:7202", "DataCentre": "centre-b", "BackendServer": "engine-2"},
  {"ID": "side-engine-3", "Role": "Side", "Address": "127.0.0.1:7203", "DataCentre": "centre-a", "BackendServer": "engine-3"},
  {"ID": "side-claims-1", "Role": "Side", "Address": "127.0.0.1:7204", "DataCentre": "centre-a", "BackendServer": "claims-1"},
  {"ID": "side-claims-2", "Role": "Side", "Address": "127.0.0.1:7205", "DataCentre": "centre-b", "BackendServer": "claims-2"}
]}
JSON
}

# initial_configuration prints the patch that creates the initial configuration.
initial_configuration() {
  cat <<JSON
[
  {"op": "add", "path": "/DataCentres/centre-a", "value": {"Region": "north", "State": "InService"}},
  {"op": "add", "path": "/DataCentres/centre-b", "value": {"Region": "north", "State": "InService"}},
  {"op": "add", "path": "/Versions/small-1", "value": {"Model": "small", "State": "Serving", "InputPrice": 100, "OutputPrice": 200, "ExpectedQuality": 0.85}},
  {"op": "add", "path": "/Versions/large-1", "value": {"Model": "large", "State": "Serving", "InputPrice": 1000, "OutputPrice": 2000, "ExpectedQuality": 0.97}},
  {"op": "add", "path": "/Services/claims", "value": {"Calls": {
    "submit": {"Method": "POST", "Path": "/submit", "Idempotent": false, "Price": 5000},
    "status": {"Method": "GET", "Path": "/status", "Idempotent": true, "Price": 10}}}},
  {"op": "add", "path": "/ClientAccounts/demo", "value": {
    "KeyHashes": ["$(hash_of $caller_key)"],
    "AllowedVersions": ["small-1", "large-1"],
    "AllowedServices": ["claims"],
    "QualityTarget": 0.9, "Weight": 1, "MaxConcurrent": 200}},
  {"op": "add", "path": "/BackendServers/engine-1", "value": {"DataCentre": "centre-a", "SideAddress": "127.0.0.1:7201", "State": "InService", "Versions": ["small-1"], "MemoryVersions": 2, "MaxRunning": 32}},
  {"op": "add", "path": "/BackendServers/engine-2", "value": {"DataCentre": "centre-b", "SideAddress": "127.0.0.1:7202", "State": "InService", "Versions": ["small-1", "large-1"], "MemoryVersions": 2, "MaxRunning": 32}},
  {"op": "add", "path": "/BackendServers/engine-3", "value": {"DataCentre": "centre-a", "SideAddress": "127.0.0.1:7203", "State": "InService", "Versions": ["large-1"], "MemoryVersions": 2, "MaxRunning": 32}},
  {"op": "add", "path": "/BackendServers/claims-1", "value": {"DataCentre": "centre-a", "SideAddress": "127.0.0.1:7204", "State": "InService", "Service": "claims", "MaxRunning": 32}},
  {"op": "add", "path": "/BackendServers/claims-2", "value": {"DataCentre": "centre-b", "SideAddress": "127.0.0.1:7205", "State": "InService", "Service": "claims", "MaxRunning": 32}}
]
JSON
}

# wait_until WHAT COMMAND... repeats the command until it succeeds, and exits with an error after 100 attempts.
wait_until() {
  local what=$1
  shift
  for _ in $(seq 100); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "$what is not ready after 100 attempts; see the logs in $run/" >&2
  exit 1
}

# ready succeeds if the entry host reports that it is ready.
ready() { curl -fsS "${authority[@]}" -m 1 "$scheme://127.0.0.1:730$1/ready"; }

# answers succeeds if the entry host answers a chat request.
answers() {
  curl -fsS "${authority[@]}" -m 2 -H "Authorization: Bearer $caller_key" -d '{"model":"auto","messages":[{"role":"user","content":"are you there"}]}' "$scheme://127.0.0.1:730$1/v1/chat/completions"
}

up() {
  trap down EXIT
  if [ -s "$run/pids" ]; then
    echo "a fleet is already running; stop it with \"make down\"" >&2
    exit 1
  fi
  mkdir -p "$run"
  if [ "${TLS:-}" = 1 ]; then make_certificates; fi
  start platform bin/lavenderfake platform --address $platform --rating-delay 20ms
  for number in 1 2 3; do
    start "engine-$number" bin/lavenderfake engine --address "127.0.0.1:710$number" --version small-1 --version large-1 \
      --quality small-1=0.85 --quality large-1=0.97
  done
  start claims-1 bin/lavenderfake service --address 127.0.0.1:7104
  start claims-2 bin/lavenderfake service --address 127.0.0.1:7105
  wait_until platform curl -fsS -m 1 "http://$platform/hosts"
  list_hosts | curl -fsS -X PUT --data @- "http://$platform/hosts" >/dev/null
  start_side engine-1 7201 127.0.0.1:7101 centre-a
  start_side engine-2 7202 127.0.0.1:7102 centre-b
  start_side engine-3 7203 127.0.0.1:7103 centre-a
  start_side claims-1 7204 127.0.0.1:7104 centre-a
  start_side claims-2 7205 127.0.0.1:7105 centre-b
  start_entry 1 centre-a
  start_entry 2 centre-b
  wait_until "operators' listener" curl -fsS "${authority[@]}" -m 1 -H "Authorization: Bearer $operator_key" $scheme://127.0.0.1:7401/config
  initial_configuration | bin/lavenderctl --address $scheme://127.0.0.1:7401 --key $operator_key config patch --base 0
  wait_until entry-1 ready 1
  wait_until entry-2 ready 2
  wait_until "request path at entry-1" answers 1
  wait_until "request path at entry-2" answers 2
  trap - EXIT
  echo "fleet is up: callers $scheme://127.0.0.1:7301 and :7302 (key $caller_key), operators $scheme://127.0.0.1:7401 and :7402 (key $operator_key)"
}

# alive succeeds if the process runs; a zombie does not count as running.
alive() { [ -r "/proc/$1/stat" ] && ! grep -q ') Z ' "/proc/$1/stat"; }

# end_all terminates the processes whose names match a pattern and waits for their exit.
end_all() {
  local pids pid
  pids=$(awk -v pattern="$1" '$2 ~ pattern { print $1 }' "$run/pids")
  for pid in $pids; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in $pids; do
    for _ in $(seq 200); do
      alive "$pid" || break
      sleep 0.05
    done
    if alive "$pid"; then
      echo "process $pid did not exit within 10 s; killing it" >&2
      kill -KILL "$pid"
    fi
  done
}

# down stops entry hosts first, then side processes, then the fakes, so that requests in progress can finish.
down() {
  [ -f "$run/pids" ] || return 0
  end_all '^entry-'
  end_all '^side-'
  end_all '.'
  rm -f "$run/pids"
}

case "${1:-}" in
  up) up ;;
  down) down ;;
  *) echo "usage: scripts/fleet.sh up|down" >&2; exit 2 ;;
esac
