#!/usr/bin/env bash
# Plays the case; exit status 0: the rule held, 1: it was broken, 2: not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")"
exec timeout -k 5 120 python3 -B case.py
