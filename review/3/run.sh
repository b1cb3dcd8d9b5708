#!/bin/bash
. "$(dirname "$0")/../run-case.sh"
