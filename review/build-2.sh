#!/usr/bin/env bash
# Builds the stand-ins of the cases 7 to 10 into bin/, which git ignores. The program under test
# is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p bin
root=$PWD
cd review/standin-2
GOWORK=off go build -o "$root/bin/standin-2" .
