#!/bin/sh
# Lays the kit's companion files of a site (real.json, wire.json, unlock.txt) beside our own site files in deploy/sites,
# where the bench looks for them. They belong to the kit: git ignores them, and nothing of the kit is committed.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
from="${1:-$root/../given/kit/sites}"
for file in real.json wire.json unlock.txt; do
  cp "$from/$file" "$root/deploy/sites/$file"
  chmod u+w "$root/deploy/sites/$file"
done
