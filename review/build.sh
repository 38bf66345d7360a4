#!/bin/sh
# Builds the stand-ins and the cases into target/review, against the program that has been built, unless that is done
# already. Needs only the JDK.
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/shoreusher.jar ]; then
    echo "target/shoreusher.jar is missing: run the build command of deploy/service.toml"
    exit 2
fi
if [ -f target/review/built ] && [ -z "$(find review/standins target/shoreusher.jar -newer target/review/built)" ]; then
    exit 0
fi
mkdir -p target/review
javac -Xlint:all,-try -cp target/shoreusher.jar -d target/review review/standins/review/*.java || exit 2
touch target/review/built
