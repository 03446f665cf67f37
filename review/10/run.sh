#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/standin-2 10 review/10
