#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 runs it without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/release/hyssopforkd ] && [ -x target/review/release/review-harness ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec timeout 118 target/review/release/review-harness case "$(basename "$here")" "$here"
