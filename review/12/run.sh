#!/bin/sh
exec "$(dirname "$0")/../rig-3/play.sh" unreadable-entries "$(dirname "$0")"
