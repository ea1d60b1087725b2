#!/bin/sh
# Plays a scenario of the stand-ins: play.sh NAME FOLDER. FOLDER gets record.txt; the exit status is
# 1 if the rule was broken, 0 if it held, and 2 if the case could not run. All processes end with it.
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/kingcupfall-relay ] || [ ! -x target/review-3/rig ]; then
    echo "build the deploy file and review/build-3.sh first" | tee "$folder/record.txt"
    exit 2
fi
scratch=$(mktemp -d) || exit 2
end_all() {
    if [ -f "$scratch/pids" ]; then
        while read -r pid; do kill -9 "$pid" 2>/dev/null; done < "$scratch/pids"
    fi
    rm -rf "$scratch"
}
trap end_all EXIT
# A shell handles a signal while it waits, but not while it runs a program.
timeout -k 2 110 target/review-3/rig "$1" "$folder" "$scratch" &
rig=$!
trap 'kill "$rig" 2>/dev/null; exit 2' INT TERM
wait "$rig"
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
