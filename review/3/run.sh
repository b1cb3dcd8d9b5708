#!/bin/bash
# Case 3: a client sends many commands at once and gets no answer to most of them.
# Writes what was sent, answered and run to record.txt. With TROUBLE=0 it sends the same commands one after the other.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
record=$folder/record.txt
export TROUBLE=${TROUBLE:-1}
. "$folder/../run-case.sh"
