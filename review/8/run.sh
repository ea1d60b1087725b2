#!/bin/sh
# A key that was taken away is served after a moment without the store.
exec "$(dirname "$0")/../rig-2/run-case.sh" silent-store review/8
