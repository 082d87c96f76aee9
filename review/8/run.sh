#!/bin/sh
# Shows case 8; TROUBLE=0 does the same without the freeze and the stop.
exec python3 "$(dirname "$0")/cancelled.py"
