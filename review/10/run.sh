#!/bin/sh
# Shows case 10; TROUBLE=0 does the same without the crash.
exec python3 "$(dirname "$0")/away.py"
