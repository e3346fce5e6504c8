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
soak="caller cluster store wire world"
common="packages/base/src/*.c review/common/*.c"
for name in $soak; do
	common="$common platform/soak/$name.c"
done
# Back ends that hold no model say so in their entries.
mkdir -p "$out/idle"
# shellcheck disable=SC2086
${CC:-cc} $flags -Dstore_put=idle_models_put -include review/common/idle_models.h \
	-c -o "$out/idle/back_end.o" platform/soak/back_end.c
for main in review/[1-5]/*.c; do
	[ -e "$main" ] || continue
	# shellcheck disable=SC2086
	${CC:-cc} $flags -o "$out/$(basename "$main" .c)" "$main" "$out/idle/back_end.o" $common $libs
done
