#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, beside the build of
# the deploy file: their platform is a Perl program, which needs no build. The
# Perl modules are of Perl's own distribution.
set -eu
cd "$(dirname "$0")"
perl -c stand-2/platform.pl
perl -Istand-2 -MLab -e 1
for case in [0-9]*/case.pl; do
  perl -Istand-2 -c "$case"
done
