# Sourced by each case's run.sh, which sets folder (the case's), record (the file to write) and TROUBLE. Starts the case's
# program, which starts drivers with the command of the deploy file, in a temporary folder that is removed at the end.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
root=$(cd "$folder/../.." && pwd)
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
program=$root/review/bin/case$(basename "$folder")
if [ -z "$command" ] || [ ! -x "$program" ] || [ ! -x "$root/bin/umberladder" ]; then
	echo "build first: the build of deploy/balancer.toml, then review/build.sh" >&2
	exit 2
fi
temporary=$(mktemp -d) || exit 2
child=
finish() {
	if [ -n "$child" ]; then
		kill "$child" 2>/dev/null # its driver is killed with it
		wait "$child" 2>/dev/null
	fi
	rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
CASE_ROOT=$root CASE_RUN=$command CASE_TMP=$temporary CASE_RECORD=$record "$program" &
child=$!
wait "$child"
status=$?
child=
[ "$status" -le 1 ] || status=2
exit "$status"
