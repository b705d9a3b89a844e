#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../bin/standin .
