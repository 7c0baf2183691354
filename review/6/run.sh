#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
rm -f "$folder/record.txt"
timeout -k 2 115 java -Xmx256m -cp target/review-2 CommitCase "$folder"
status=$?
if [ "$status" -gt 1 ] || ! grep -q "exit $status$" "$folder/record.txt" 2>/dev/null; then
  exit 2
fi
exit "$status"
