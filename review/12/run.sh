#!/bin/bash
# See claim.txt. TROUBLE=0 plays the same without the disruption.
folder=$(dirname "$0")
exec "$folder/../standins-3/run-script" crash_cleared "$folder"
