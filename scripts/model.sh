#!/usr/bin/env bash
# Checks the specification with spin: as it is, it must hold; with any of its
# guards taken out, spin must find an error.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"

# errors GUARD prints how many errors spin finds without the guard.
errors() {
  spin ${1:+"$1"} -a "$root/spec/grants.pml" >spin.out
  gcc -O2 -o pan pan.c
  ./pan -a -m100000 >pan.out
  sed -n 's/.*errors: \([0-9]*\)$/\1/p' pan.out
}

found=$(errors "")
echo "grants.pml: $found errors, $(awk '/states, stored/ {print $1}' pan.out) states"
[ "$found" = 0 ]
for guard in NO_FENCE NO_SWEEP NO_COUNT; do
  found=$(errors "-D$guard")
  echo "grants.pml with -D$guard: $found errors"
  [ "$found" != 0 ]
done
