#!/bin/sh
# Runs the build line of deploy/system.toml in a clean copy of what git tracks, and checks
# that the program that each role runs is made and that all packages are installed.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git -C "$root" ls-files -z | (cd "$root" && xargs -0 cp --parents -t "$copy" 2>/dev/null)
cd "$copy"
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$build" ] || { echo "deploy/system.toml: no build line"; exit 1; }
sh -c "$build" >build.log 2>&1 || { tail -20 build.log; echo "deploy/system.toml: the build failed"; exit 1; }
sed -n 's/^run = "\([^ "]*\).*/\1/p' deploy/system.toml | while read -r program; do
	[ -x "$program" ] || { echo "deploy/system.toml: $program is not built"; exit 1; }
	"$program" --version >/dev/null || { echo "$program does not run"; exit 1; }
done
for p in $(sed -n '/^packages/,/^]/p' deploy/system.toml | grep -o '"[^"]*"' | tr -d '"'); do
	dpkg-query -W "$p" >/dev/null 2>&1 || { echo "deploy/system.toml: package $p is not installed"; exit 1; }
done
echo "deploy: builds"
