#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the loss of machines.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 119 python3 case.py
