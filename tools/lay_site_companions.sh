#!/bin/sh
# Copies the companion files of a site (real.json, wire.json, unlock.txt) from the kit to deploy/sites, where the bench
# reads them. Git ignores the copies, because files of the kit must not be committed.
# Usage: lay_site_companions.sh [SOURCE_FOLDER]
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
source_folder="${1:-$root/../given/kit/sites}"
for file in real.json wire.json unlock.txt; do
  cp "$source_folder/$file" "$root/deploy/sites/$file"
  chmod u+w "$root/deploy/sites/$file"
done
