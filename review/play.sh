#!/usr/bin/env bash
# Plays a case: play.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/.." || exit 2
scratch=$(mktemp -d) || exit 2

# Ends the entries that are left if the stand-ins were ended before their time, and nothing else.
finish() {
  for id in $(cat "$scratch/ids" 2>/dev/null); do
    [[ $(readlink "/proc/$id/exe" 2>/dev/null) == "$PWD/target/release/dogwoodspur-platform" ]] && kill -s KILL "$id"
  done
  rm -rf "$scratch"
}
trap finish EXIT

timeout --kill-after=5 110 target/review/release/standins "$1" "$2" "$scratch"
code=$?
[[ $code -le 1 ]] || exit 2
exit "$code"
