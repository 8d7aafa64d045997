#!/bin/sh
cd "$(dirname "$0")/../.." && exec timeout -k 2 118 python3 review/10/case.py
