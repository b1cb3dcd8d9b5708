#!/bin/bash
# Builds the stand-ins and programs that the cases start. The build of deploy/balancer.toml comes before it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 1 2 3; do
	if [ -f "review/$n/main.go" ]; then
		go build -o "review/bin/case$n" "./review/$n"
	fi
done
