#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o review/_kit2/bin/cases ./review/_kit2
