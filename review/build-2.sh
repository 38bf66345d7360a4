#!/bin/sh
# Builds the stand-ins and tests of review/4 and following; run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/kit-2/*.java

# The stand-ins and checks of review/8 and the following cases.
mkdir -p target/review-kit-3 && javac -nowarn -cp "target/shoreusher.jar:target/lib/*" -d target/review-kit-3 review/kit-3/*.java
