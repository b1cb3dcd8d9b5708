#!/bin/bash
# Builds the stand-ins of the cases 6 and following. Needs no network once the build of the deploy file has run.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o bin/review-rig-2 ./review/rig-2
