#!/usr/bin/env bash
# Case 13. TROUBLE=0 runs it without the disruption. Build with review/build-3.sh first.
set -euo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/review-3/cases-3 ]; then
    echo "target/review-3/cases-3 is missing: run review/build-3.sh"
    exit 2
fi
exec target/review-3/cases-3 slow-readers review/13
