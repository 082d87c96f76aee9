#!/bin/sh
# Shows case 6; TROUBLE=0 does the same without the changes.
exec python3 "$(dirname "$0")/removed.py"
