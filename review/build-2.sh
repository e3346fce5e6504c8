#!/bin/sh
# Builds the stand-ins of cases 6 and later into target/review-2, behind the build of
# deploy/system.toml, with the packages that it lists.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="$(pkg-config --cflags --libs jansson libsodium) -lxxhash -lpthread -lm"
# shellcheck disable=SC2086
cc -std=gnu11 -O1 -g -D_GNU_SOURCE -Wall -Wextra -o target/review-2/edge-cases \
	-Ipackages/base/include \
	review/stand-ins-2/*.c platform/soak/store.c platform/soak/wire.c packages/base/src/*.c $flags
# The stand-ins of platform/soak with the sites' HeartbeatMs.
soak=target/review-2/soak
mkdir -p $soak
cp platform/soak/*.[ch] $soak/
sed -i 's/HEARTBEAT_MS = 600,/HEARTBEAT_MS = 1200,/' $soak/back_end.h
# shellcheck disable=SC2086
cc -std=gnu11 -O1 -g -D_GNU_SOURCE -Wall -Wextra -o target/review-2/foreign-group \
	-Ipackages/base/include review/stand-ins-2/groups/*.c $soak/back_end.c \
	$soak/caller.c $soak/cluster.c $soak/store.c $soak/wire.c $soak/world.c \
	packages/base/src/*.c $flags
