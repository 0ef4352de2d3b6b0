#!/bin/sh
# The second way to the same standstill; exits as run.sh does.
cd "$(dirname "$0")" && exec perl -I../stand-2 power.pl
