#!/bin/sh
# Scores the regression sites one after the other and leaves the bench's
# entries in journal/:
#
#     deploy/regress.sh BENCH SITES WHY
#
# BENCH is the bench's program, SITES the folder that holds the site files and
# WHY the reason for the journal. JOBS days are played at once: a day of a large
# site takes some gigabytes of memory.
set -eu
if [ "$#" -ne 3 ]; then
    echo "usage: $0 BENCH SITES WHY" >&2
    exit 2
fi
bench=$1
sites=$2
why=$3
for site in \
    large/teifi-large \
    further-grown/tsbogts-filing-grown \
    further/tsbogts-filing; do
    "$bench" score "$sites/$site.toml" --jobs "${JOBS:-1}" \
        --why "$why, $(basename "$site")"
done
