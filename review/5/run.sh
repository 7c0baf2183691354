#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/EndLostCase.class ] || exit 2
exec java -Xmx256m -Djdk.httpclient.allowRestrictedHeaders=host,connection -Dsun.net.httpserver.nodelay=true \
  -cp "target/review:target/lib/*" EndLostCase review/5/record.txt
