#!/bin/sh
# Builds the stand-ins of the scripts in this folder; to be run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review -cp "target/lib/*" review/*.java
