#!/bin/sh
# Exit: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x build/marblewharf ] && [ -x build/review-2/case-9 ] || { echo "not built: review/build-2.sh" >&2; exit 2; }
timeout -k 1 117 build/review-2/case-9 "$here"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
