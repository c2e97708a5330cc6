# Sourced by the run.sh of a case. Builds its driver, reads the `run` line of the deploy file and runs the driver, which
# ends with 0 (held), 1 (broken) or 2 (could not run); everything else counts as 2. The whole takes 110 s at most: 40 s for
# the build, 65 s for the driver. When this script ends or is ended, so do the driver and, by PR_SET_PDEATHSIG, the nodes
# that it started, and the temporary folder is removed (REVIEW_KEEP=1 keeps it).
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
case_number="$(basename "$here")"
export REVIEW_ROOT="$root"
REVIEW_RUN="$(sed -n 's/^run *= *"\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")"
export REVIEW_RUN
driver=
REVIEW_TMP=
cannot_run() {
  echo "cannot run: $1" | tee "$here/record.txt" >&2
  exit 2
}
clean_up() {
  if [ -n "$driver" ]; then
    kill "$driver" 2>/dev/null
    wait "$driver" 2>/dev/null
  fi
  if [ -n "$REVIEW_TMP" ] && [ -z "${REVIEW_KEEP:-}" ]; then rm -rf "$REVIEW_TMP"; fi
}
trap clean_up EXIT
trap 'exit 2' INT TERM HUP

timeout 40 bash "$root/review/build.sh" "$case_number" || cannot_run "the stand-ins cannot be built"
[ -x "$root/build/marblewharf" ] || cannot_run "build/marblewharf is missing: run the build line of deploy/balancer.toml"
REVIEW_TMP="$(mktemp -d "${TMPDIR:-/tmp}/review-XXXXXX")" || cannot_run "no temporary folder"
export REVIEW_TMP
timeout --kill-after=2 63 "$root/review/bin/case$case_number" "$here" &
driver=$!
wait "$driver"
status=$?
driver=
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
