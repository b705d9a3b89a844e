#!/usr/bin/env bash
# Sends one chat request and one service call through entry, side and backend server as separate processes.
set -euo pipefail
cd "$(dirname "$0")/.."
run=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait; rm -rf "$run"' EXIT
start() { "$@" 2>>"$run/log" & pids+=($!); }
start bin/lavenderfake platform --address 127.0.0.1:17000
start bin/lavenderfake engine --address 127.0.0.1:17101 --version small-1
start bin/lavenderfake service --address 127.0.0.1:17102
side() { cat >"$run/$1.json" <<J
{"HostID":"$1","DataCentre":"dc-1","BackendServer":"$1","Address":"127.0.0.1:$2","BackendAddress":"http://127.0.0.1:$3","PlatformAddress":"http://127.0.0.1:17000"}
J
start bin/lavenderswitch-side run --settings "$run/$1.json"; }
side engine-1 17201 17101
side claims-1 17202 17102
hash() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
cat >"$run/entry.json" <<J
{"HostID":"entry-1","DataCentre":"dc-1","CallerAddress":"127.0.0.1:17301","OperatorAddress":"127.0.0.1:17302","PeerAddress":"127.0.0.1:17303","PlatformAddress":"http://127.0.0.1:17000","OperatorKeyHashes":["$(hash operator)"]}
J
start bin/lavenderswitch-entry run --settings "$run/entry.json"
sleep 1
patch() { curl -sS -X PATCH -H 'Authorization: Bearer operator' -H "If-Match: $1" --data "$2" http://127.0.0.1:17302/config; }
patch 0 "[
{\"op\":\"add\",\"path\":\"/DataCentres\",\"value\":{\"dc-1\":{\"Region\":\"r\",\"State\":\"InService\"}}},
{\"op\":\"add\",\"path\":\"/Versions\",\"value\":{\"small-1\":{\"Model\":\"small\",\"State\":\"Serving\",\"InputPrice\":1,\"OutputPrice\":2,\"ExpectedQuality\":0.9}}},
{\"op\":\"add\",\"path\":\"/Services\",\"value\":{\"claims\":{\"Calls\":{\"submit\":{\"Method\":\"POST\",\"Path\":\"/submit\",\"Idempotent\":false}}}}},
{\"op\":\"add\",\"path\":\"/ClientAccounts\",\"value\":{\"donativa\":{\"KeyHashes\":[\"$(hash caller)\"],\"AllowedVersions\":[\"small-1\"],\"AllowedServices\":[\"claims\"],\"QualityTarget\":0.8}}},
{\"op\":\"add\",\"path\":\"/BackendServers\",\"value\":{
 \"engine-1\":{\"DataCentre\":\"dc-1\",\"SideAddress\":\"127.0.0.1:17201\",\"State\":\"InService\",\"Versions\":[\"small-1\"],\"MaxRunning\":8},
 \"claims-1\":{\"DataCentre\":\"dc-1\",\"SideAddress\":\"127.0.0.1:17202\",\"State\":\"InService\",\"Service\":\"claims\",\"MaxRunning\":8}}}]"
sleep 2
call() { curl -sS -w '%{http_code}\n' -H 'Authorization: Bearer caller' "$@"; }
call --data '{"model":"auto","messages":[{"role":"user","content":"hello"}]}' http://127.0.0.1:17301/v1/chat/completions
call --data '{"model":"auto","stream":true,"messages":[{"role":"user","content":"hello"}]}' http://127.0.0.1:17301/v1/chat/completions | tail -4
call -H 'Idempotency-Key: claim-1' --data 'claim' http://127.0.0.1:17301/services/claims/submit
call -H 'Idempotency-Key: claim-1' --data 'claim' http://127.0.0.1:17301/services/claims/submit
patch 1 '[{"op":"replace","path":"/Versions/small-1/State","value":"Withdrawn"}]'
call --data '{"model":"auto","messages":[{"role":"user","content":"hello"}]}' http://127.0.0.1:17301/v1/chat/completions
cat "$run/log" | tail -5
