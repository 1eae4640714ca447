#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the disruption
# out. Needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
trap 'exit 2' INT TERM
timeout -k 2 110 review/bin/standin gone "$work" "$here/record.txt"
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
