#!/bin/sh
# Builds the stand-ins of the scripts. The build of the deploy file must have run before.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
