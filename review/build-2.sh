#!/bin/sh
# Builds the stand-ins of the second review. Run it after the build of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin
exec go build -tags review2 -o bin/review-2 ./review/standin2
