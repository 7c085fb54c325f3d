#!/usr/bin/env bash
# Runs one case of a fleet test while one kind of its processes is stopped
# (SIGSTOP) for MS milliseconds and continued for 900, over and over, from 2 s
# after its start. Tells what a machine does that gives that process no time.
#
#   review/stalls.sh SUITE CASE PROGRAM MS
#
# PROGRAM is one of fault-proxy, redwing-load, fake-target, redwing-entry;
# "none" stops nothing. Exits as the test does.
set -u
suite=$1 case=$2 program=$3 ms=$4
cd "$(dirname "$0")/.."
pause=$(awk -v ms="$ms" 'BEGIN { print ms / 1000 }')

"build/testing/$suite" "$case" -s &
test=$!
sleep 2
while kill -0 "$test" 2>/dev/null; do
  for child in $(pgrep -P "$test"); do
    name=$(tr '\0' '\n' <"/proc/$child/cmdline" 2>/dev/null | head -1)
    if [ "${name##*/}" = "$program" ]; then
      kill -STOP "$child"
      sleep "$pause"
      kill -CONT "$child"
    fi
  done 2>/dev/null
  sleep 0.9
done
wait "$test"
