# Completion for bash: source this file, or install it as
# /usr/share/bash-completion/completions/cornelspindle
# shellcheck shell=bash
_cornelspindle() {
	local word=${COMP_WORDS[COMP_CWORD]}
	local before=${COMP_WORDS[COMP_CWORD - 1]}
	local commands="check apply remove diff get status watch explain key drain"
	local options="--server --token-file --json --scope-zone --expect --note --dry-run --daemon --model
		--team --prompt --answer --tried --since
		--timeout --help"
	local words=""
	if [ "$COMP_CWORD" = 1 ]; then
		words="$commands --help"
	elif [ "$before" = --token-file ]; then
		mapfile -t COMPREPLY < <(compgen -f -- "$word")
		return
	elif [[ $word == -* ]]; then
		words=$options
	else
		case ${COMP_WORDS[1]} in
		get) words="model_group service team policy" ;;
		explain) [ "$COMP_CWORD" = 2 ] && words="group request change place" ;;
		key)
			mapfile -t COMPREPLY < <(compgen -f -- "$word")
			return
			;;
		check | apply | diff)
			mapfile -t COMPREPLY < <(compgen -f -X '!*.toml' -- "$word" && compgen -d -- "$word")
			return
			;;
		esac
	fi
	mapfile -t COMPREPLY < <(compgen -W "$words" -- "$word")
}
complete -F _cornelspindle cornelspindle
