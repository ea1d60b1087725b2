#!/bin/sh
# A stream whose answer is lost is refused as not run.
exec "$(dirname "$0")/../rig-2/run-case.sh" lost-answer review/6
