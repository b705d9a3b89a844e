#!/usr/bin/env bash
# Starts a small fleet of separate processes, sends example requests and operator commands, and stops the fleet.
set -euo pipefail
cd "$(dirname "$0")/.."
operators=http://127.0.0.1:7401
other_operators=http://127.0.0.1:7402
callers=http://127.0.0.1:7301
other_callers=http://127.0.0.1:7302
export LAVENDERCTL_ADDRESS=$operators LAVENDERCTL_KEY=operator-key

trap 'scripts/fleet.sh down' EXIT
title() { printf '\n== %s\n' "$*"; }
call() { curl -sS -m 20 -H 'Authorization: Bearer caller-key' "$@"; }
number() { bin/lavenderctl --address "${1:-$operators}" config get --json | sed -n 's|.*"Number": *\([0-9]*\).*|\1|p' | head -1; }

title "starting the fleet"
scripts/fleet.sh up

title "models that the client account may use"
call $callers/v1/models; echo

title "a request without streaming"
call -D - -o .run/answer -d '{"model":"auto","messages":[{"role":"user","content":"draft a dossier"}]}' $callers/v1/chat/completions | grep -iE '^(HTTP|lavender)'
head -c 160 .run/answer; echo ' ...'; rm -f .run/answer

title "a streamed request at the second entry host"
call -N -d '{"model":"large","stream":true,"messages":[{"role":"user","content":"draft a letter"}]}' $other_callers/v1/chat/completions | sed -n '1p;$!d' 
call -N -d '{"model":"large","stream":true,"messages":[{"role":"user","content":"draft a letter"}]}' $other_callers/v1/chat/completions | grep -c '^data: ' | sed 's/$/ events, the last is [DONE]/'

title "a call that is not idempotent, sent to both entry hosts with the same idempotency key: it runs once"
call -H 'Idempotency-Key: claim-4711' -d 'claim' $callers/services/claims/submit; echo
call -H 'Idempotency-Key: claim-4711' -d 'claim' $other_callers/services/claims/submit; echo

title "changing the configuration under load: the large version is withdrawn"
bin/lavenderfake load --target $callers --target $other_callers --key caller-key --requests 300 --callers 8 --service-part 0.2 --service claims/submit > .run/load.log 2>&1 & load=$!
sleep 0.5
base=$(number)
echo '[{"op":"replace","path":"/Versions/large-1/State","value":"Withdrawn"}]' | bin/lavenderctl config patch --base "$base"
for _ in $(seq 40); do [ "$(number $other_operators)" -gt "$base" ] && break; sleep 0.1; done
echo "in force at both entry hosts: $(number) and $(number $other_operators)"
call -d '{"model":"large-1","messages":[{"role":"user","content":"hello"}]}' $other_callers/v1/chat/completions; echo
wait $load && tail -n 12 .run/load.log

title "a patch based on an outdated configuration number is refused"
echo '[{"op":"replace","path":"/Versions/large-1/State","value":"Serving"}]' | bin/lavenderctl config patch --base "$base" || echo "exit code $?"

title "hosts, backend servers and versions as operators see them"
bin/lavenderctl fleet
bin/lavenderctl rollout list

title "stopping the fleet"
scripts/fleet.sh down
trap - EXIT
echo "done"
