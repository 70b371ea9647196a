#!/bin/sh
# Plays the case once: exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0
# leaves the disruption out. Writes record.txt beside this file.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../common/run-case.sh"
