#!/bin/sh
# Builds the stand-ins of the cases into review/build, with the packages of deploy/system.toml alone.
set -eu
cd "$(dirname "$0")/.."
out=review/build
mkdir -p "$out"
flags="-std=gnu11 -O2 -D_GNU_SOURCE -Wall -Wextra -fno-strict-aliasing"
flags="$flags -Ipackages/base/include -Iplatform/soak -Ireview/common"
flags="$flags $(pkg-config --cflags jansson libsodium libxxhash)"
libs="$(pkg-config --libs jansson libsodium libxxhash) -lpthread -lm"
soak="back_end caller cluster store wire world"
common="packages/base/src/*.c review/common/*.c"
for name in $soak; do
	common="$common platform/soak/$name.c"
done
for main in review/[1-5]/*.c; do
	[ -e "$main" ] || continue
	# shellcheck disable=SC2086
	${CC:-cc} $flags -o "$out/$(basename "$main" .c)" "$main" $common $libs
done
