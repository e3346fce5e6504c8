#!/usr/bin/env bash
# Compares types, ranges and defaults of docs/SETTINGS.md and docs/RESOURCES.md with what the
# programs accept: check-ranges.sh DAEMON CTL. For each row of a page, tries values at and
# beyond the bounds, a value of another type, and the key left out.
set -u
daemon=$1
ctl=$2
root=$(cd "$(dirname "$0")/.." && pwd)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failures=0
tried=0

settings_base() {
	cat <<'END'
[daemon] name = "d"
[daemon] zone = "z"
[daemon] region = "r"
[daemon] listen = "127.0.0.1:1"
[daemon] peer_listen = "tcp://127.0.0.1:2"
[platform] log_url = "http://127.0.0.1:3"
[platform] vm_list_url = "http://127.0.0.1:3/vms"
[[operator]] name = "o"
[[caller]] name = "t"
END
	echo "[[operator]] digest = \"$(printf '%064d' 0)\""
	echo "[[caller]] digest = \"$(printf '%064d' 1)\""
}
resources_base() {
	cat <<'END'
[[model_group]] name = "g"
[[model_group]] model = "m"
[[model_group]] version = "1"
[[model_group]] zones = ["z"]
[[model_group]] replicas = 1
[[model_group]] members = 1
[[service]] name = "s"
[[service]] kind = "model"
[[service]] model_group = "g"
[[team]] name = "t"
[[team]] priority = 1
[policy] downtime_weight = 1
END
}
# assemble BASE TABLE KEY [VALUE]: prints the base with the key set to VALUE, or left out.
assemble() {
	"$1" | awk -v t="$2" -v k="$3" -v v="${4-}" '
		function put(table, line) {
			if (!(table in text)) order[++n] = table
			text[table] = text[table] line "\n"
		}
		{
			table = $1
			line = substr($0, length($1) + 2)
			if (!(table == t && $2 == k)) put(table, line)
		}
		END {
			if (v != "") put(t, k " = " v)
			for (i = 1; i <= n; i++) printf "%s\n%s", order[i], text[order[i]]
		}'
}
# expect WANTED TABLE KEY [VALUE]: counts a failure unless the program's result is WANTED.
expect() {
	local wanted=$1 seen=accepted
	shift
	tried=$((tried + 1))
	assemble "$base" "$@" >"$dir/f.toml"
	"${check[@]}" "$dir/f.toml" >"$dir/output" 2>&1 || seen=refused
	[ "$seen" = "$wanted" ] && return
	echo "$page: $1 $2 = ${3-(left out)} is $seen, the page says $wanted"
	sed 's/^/    /' "$dir/output" | head -n 3
	failures=$((failures + 1))
}
# check_row TABLE KEY TYPE RANGE DEFAULT
check_row() {
	local low high
	if [ "${5%% *}" = required ]; then
		expect refused "$1" "$2"
	else
		expect accepted "$1" "$2"
	fi
	case $3 in
	integer*)
		expect refused "$1" "$2" '"text"'
		low=${4% to *}
		high=${4#* to }
		[ "$high" = '10^15' ] && high=1000000000000000
		expect refused "$1" "$2" $((low - 1))
		expect accepted "$1" "$2" "$low"
		expect accepted "$1" "$2" "$high"
		expect refused "$1" "$2" $((high + 1))
		;;
	number)
		expect refused "$1" "$2" '"text"'
		expect refused "$1" "$2" -0.5
		expect accepted "$1" "$2" 0.5
		;;
	boolean)
		expect refused "$1" "$2" 7
		expect accepted "$1" "$2" true
		;;
	array*)
		expect refused "$1" "$2" 7
		expect refused "$1" "$2" '[7]'
		;;
	tables) ;;
	*)
		expect refused "$1" "$2" 7
		[ "$4" = "not empty" ] && expect refused "$1" "$2" '""'
		[ "$4" = "error, warn, info, debug" ] && expect refused "$1" "$2" '"loud"' &&
			expect accepted "$1" "$2" '"debug"'
		;;
	esac
}
# page_rows: the page's rows as TABLE|KEY|TYPE|RANGE|DEFAULT.
page_rows() {
	awk -F ' *[|] *' '
		/^`\[/ { split($0, part, "`"); table = part[2] }
		/^\| `[a-z_]*` \|/ { gsub(/`/, "", $2); print table "|" $2 "|" $3 "|" $4 "|" $5 }' "$root/$page"
}
check_page() {
	local table key type range default
	while IFS='|' read -r table key type range default; do
		check_row "$table" "$key" "$type" "$range" "$default"
	done < <(page_rows)
}

page=docs/SETTINGS.md base=settings_base check=("$daemon" --check)
check_page
page=docs/RESOURCES.md base=resources_base check=("$ctl" check)
check_page
echo "$tried values tried, $failures differ"
[ $failures = 0 ] && [ $tried -gt 100 ]
