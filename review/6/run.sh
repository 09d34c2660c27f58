#!/bin/bash
# Runs the case of the crashing request. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."

folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
target/review-2/crashing_request review/6 "$folder"
