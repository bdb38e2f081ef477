#!/usr/bin/env bash
# Runs the soak of real processes in the shape of one of the users' sites: instances, engines, callers, and lengths and
# pace of streams as in the site's file: machines in use, servers of the engines' service, clients of all zones, the longest
# stream and event, and a step of an engine times the tokens of an event.
#
#   deploy/site-soak.sh SITE [OPTION]...
#
# Options go to passway-soak, for example --program, --seed, --logs.
set -eu
cd "$(dirname "$0")/.."
site=${1:?a site}
shift
case $site in
forthgate) shape=(--instances 85 --engines 112 --callers 279 --max-events 95 --padding-bytes 480 --event-delay-ms 45) ;;
stallnet) shape=(--instances 6 --engines 9 --callers 63 --max-events 191 --padding-bytes 330 --event-delay-ms 26) ;;
lanka) shape=(--instances 7 --engines 9 --callers 68 --max-events 159 --padding-bytes 360 --event-delay-ms 27) ;;
abay) shape=(--instances 9 --engines 9 --callers 46 --max-events 55 --padding-bytes 330 --event-delay-ms 27) ;;
*)
    echo "unknown site $site: forthgate, stallnet, lanka or abay" >&2
    exit 2
    ;;
esac
exec target/release/passway-soak "${shape[@]}" --min-events 1 "$@"
