#!/bin/bash
# Case 1: a keyed write is applied twice, as the connection for its further attempt comes up late.
# Writes what was sent, answered and run to record.txt. With TROUBLE=0 all connections come up at once.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
record=$folder/record.txt
export TROUBLE=${TROUBLE:-1}
. "$folder/../run-case.sh"
