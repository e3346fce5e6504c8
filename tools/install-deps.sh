#!/bin/sh
# Installs the Debian packages that the build needs and that are missing.
set -eu
packages="build-essential cmake ninja-build pkg-config clang clang-format clang-tidy cppcheck
curl jq libev-dev libzmq3-dev libmicrohttpd-dev libcurl4-openssl-dev libprotobuf-c-dev
protobuf-c-compiler libjansson-dev libxxhash-dev uthash-dev libsodium-dev liblog4c-dev
libcmocka-dev libtomlplusplus-dev zlib1g-dev"
missing=""
for p in $packages; do
	state=$(dpkg-query -W -f='${db:Status-Status}' "$p" 2>/dev/null || true)
	[ "$state" = installed ] || missing="$missing $p"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing
