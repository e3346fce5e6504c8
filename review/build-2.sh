#!/bin/sh
# Builds the stand-ins of cases 6 and later into target/review-2, behind the build of
# deploy/system.toml, with the packages that it lists.
set -e
cd "$(dirname "$0")/.."
# The stand-ins of platform/soak, brought in line with the pages: entries have all the fields that
# PROTOCOL.md lists, answers of the store have no header that it does not name, and HeartbeatMs is that
# of the sites.
soak=target/review-2/soak
mkdir -p $soak
cp platform/soak/*.[ch] $soak/
sed -i 's/HEARTBEAT_MS = 600,/HEARTBEAT_MS = 1200,/' $soak/back_end.h
sed -i 's|^\(\tjson_object_set_new (root, \)"Slots", .*|&\n\1"Version", json_string ("v1"));\n\1"ColdRemainingMs", json_integer (0));|' \
	$soak/back_end.c
grep -q '"ColdRemainingMs"' $soak/back_end.c
sed -i -e 's/Store-Era: %" PRIu64/"/' -e 's/"\\r\\nContent-Type/"Content-Type/' \
	-e 's/status, s->era, type/status, type/' $soak/store.c
! grep -q Store-Era $soak/store.c
flags="$(pkg-config --cflags --libs jansson libsodium) -lxxhash -lpthread -lm"
# shellcheck disable=SC2086
cc -std=gnu11 -O1 -g -D_GNU_SOURCE -Wall -o target/review-2/edge-cases \
	-Ipackages/base/include review/stand-ins-2/*.c $soak/store.c $soak/wire.c \
	packages/base/src/*.c $flags
# shellcheck disable=SC2086
cc -std=gnu11 -O1 -g -D_GNU_SOURCE -Wall -o target/review-2/foreign-group \
	-Ipackages/base/include review/stand-ins-2/groups/*.c $soak/back_end.c \
	$soak/caller.c $soak/cluster.c $soak/store.c $soak/wire.c $soak/world.c \
	packages/base/src/*.c $flags
