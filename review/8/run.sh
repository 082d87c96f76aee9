#!/bin/sh
# Shows case 8; TROUBLE=0 does the same without the jobs that fail.
exec python3 "$(dirname "$0")/standing.py"
