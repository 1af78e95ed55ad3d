#!/bin/sh
# Builds the stand-ins and the scenarios of the scripts in this folder, among them the project's own stand-in of the store.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/harness ./review/harness
