# Sourced by the run.sh of a case: builds the drivers, reads the `run` line of the deploy file, and runs the driver of
# the case, which ends with 0 (held), 1 (broken) or 2 (could not run). All other ends count as 2.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
export REVIEW_ROOT="$root"
REVIEW_RUN="$(sed -n 's/^run *= *"\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")"
export REVIEW_RUN
if ! bash "$root/review/build.sh" "$(basename "$here")"; then echo "the stand-ins cannot be built" >&2; exit 2; fi
if [ ! -x "$root/build/marblewharf" ]; then
  echo "build/marblewharf is missing: run the build line of deploy/balancer.toml first" >&2
  exit 2
fi
timeout --kill-after=2 118 "$root/review/bin/case$(basename "$here")" "$here"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
