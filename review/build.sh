#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the cases start. The programs of the project are built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/stand
