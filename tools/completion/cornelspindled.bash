# Completion of cornelspindled for bash.
_cornelspindled() {
	local word=${COMP_WORDS[COMP_CWORD]}
	case $word in
	-*) mapfile -t COMPREPLY < <(compgen -W "--check --help --hosted --version" -- "$word") ;;
	*) mapfile -t COMPREPLY < <(compgen -f -X '!*.toml' -- "$word") ;;
	esac
}
complete -o filenames -F _cornelspindled cornelspindled
