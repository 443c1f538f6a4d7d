#!/bin/sh
# Builds the stand-ins of the cases. Run it after the build of the deploy file; it needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/standin ./review/standin
