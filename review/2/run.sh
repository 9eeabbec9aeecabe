#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption. Needs the build of deploy/system.toml and review/build.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
target/review/review-standin two-followers review/2 &
standin=$!
trap 'pkill -KILL -P $standin; kill $standin; exit 2' INT TERM
wait $standin
