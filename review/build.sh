#!/bin/sh
# Builds the stand-ins that the scripts of the review start. It needs no network once the
# project's modules are there, as for the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/harness ./review/_harness
