# Sourced by each case's run.sh: starts the case's program with the command of the deploy file, in a temporary folder.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
number=$(basename "$here")
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
program=$root/review/bin/case$number
if [ -z "$command" ] || [ ! -x "$program" ] || [ ! -x "$root/bin/umberladder" ]; then
	echo "build first: the build of deploy/balancer.toml, then review/build.sh" >&2
	exit 2
fi
folder=$(mktemp -d) || exit 2
child=
finish() {
	[ -z "$child" ] || kill "$child" 2>/dev/null
	rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
CASE_ROOT=$root CASE_RUN=$command CASE_TMP=$folder CASE_RECORD=$here/record.txt TROUBLE=${TROUBLE:-1} "$program" &
child=$!
wait "$child"
status=$?
child=
[ "$status" -le 1 ] || status=2
exit "$status"
