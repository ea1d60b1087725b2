#!/bin/sh
# Runs one case: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. With TROUBLE=0 the disruption is left out.
set -u
cd "$(dirname "$0")/../.." || exit 2
rig=target/review-2/release/review-rig-2
for program in "$rig" target/release/kingcupfall-relay; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: run the build of the deploy file and review/build-2.sh" >&2
        exit 2
    fi
done
temporary=$(mktemp -d) || exit 2
runner=

# Ends what the case has started, also if this script is ended.
finish() {
    if [ -n "$runner" ]; then
        # `timeout` passes the signal on.
        kill "$runner" 2>/dev/null
        wait "$runner" 2>/dev/null
    fi
    if [ -f "$temporary/pids" ]; then
        while read -r pid; do
            case $(readlink "/proc/$pid/exe") in
                */kingcupfall-relay*) kill -9 "$pid" 2>/dev/null ;;
            esac
        done <"$temporary/pids"
    fi
    rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP

timeout -s KILL 115 "$rig" "$1" "$2" "$temporary" &
runner=$!
wait "$runner"
code=$?
runner=
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
