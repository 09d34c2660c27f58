#!/bin/bash
# Case of the late heartbeat. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."

program=target/review-2/late_heartbeat
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
"$program" review/7 "$folder"
