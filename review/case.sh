#!/usr/bin/env bash
# Plays the case NAME and writes record.txt into FOLDER; see review/standins/main.rs.
# usage: case.sh NAME FOLDER
cd "$(dirname "$0")/.." || exit 2
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
trap 'rm -rf "$CASE_TMP"' EXIT
target/review/play "$1" "$2"
