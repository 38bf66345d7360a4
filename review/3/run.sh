#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
sh review/build.sh || exit 2
java -Xmx1g -cp target/shoreusher.jar:target/review review.MalformedText review/3/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
