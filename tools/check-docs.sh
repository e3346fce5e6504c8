#!/bin/sh
# Checks that every key that the code reads is described in docs/SETTINGS.md or
# docs/RESOURCES.md, and that the pages describe no others; the same for the reasons of
# groups in docs/FAULTS.md.
set -u
cd "$(dirname "$0")/.."
status=0
keys() { grep -ho '{"[a-z_]*", CS_FIELD_' "$@" | cut -d'"' -f2 | sort -u; }
compare() { # compare PAGE SOURCE...
	page=$1
	shift
	for k in $(keys "$@"); do
		grep -q "[\`[]$k[]\`]" "$page" || { echo "$page does not describe $k"; status=1; }
	done
	for k in $(grep -o '^| `[a-z_]*`' "$page" | tr -d '|` '); do
		keys "$@" | grep -qx "$k" || { echo "$page describes $k, which is not read"; status=1; }
	done
}
compare docs/SETTINGS.md packages/toml/src/settings.c
compare docs/RESOURCES.md packages/toml/src/resource_fields.c packages/toml/src/resources.c

reasons() { grep -o '\[CS_GROUP_[A-Z_]*\] = "[a-z-]*"' packages/decide/src/groups_explain.c | cut -d'"' -f2; }
for r in $(reasons); do
	grep -q "^| \`$r\` |" docs/FAULTS.md || { echo "docs/FAULTS.md does not describe $r"; status=1; }
done
for r in $(grep -o '^| `[a-z-]*` |' docs/FAULTS.md | tr -d '|` '); do
	reasons | grep -qx "$r" || { echo "docs/FAULTS.md describes $r, which is not a reason"; status=1; }
done
exit $status
