#!/bin/sh
exec "$(dirname "$0")/../rig-3/play.sh" cut-server "$(dirname "$0")"
