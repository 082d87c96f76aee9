#!/bin/sh
# Shows case 10; TROUBLE=0 does the same without the jobs that fail.
exec python3 "$(dirname "$0")/standing.py"
