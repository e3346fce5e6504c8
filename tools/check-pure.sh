#!/bin/sh
# Checks that the decision library does no input or output and reads no clock: no undefined
# symbol of the archive may match the banned names.
set -eu
archive=$1
banned='^(ev_|curl_|MHD_|zmq_|socket$|connect$|bind$|listen$|accept4?$|send(to|msg)?$|recv(from|msg)?$|poll$|select$|epoll_|open(64)?$|fopen(64)?$|read$|write$|fwrite$|fread$|printf$|puts$|clock_gettime$|time$|gettimeofday$|rand(om)?$|pthread_|usleep$|nanosleep$|getenv$)'
found=$(nm -u "$archive" | sed -n 's/^ *U //p' | sed 's/@.*//' | sort -u | grep -E "$banned" || true)
[ -n "$(nm -u "$archive" | sed -n 's/^ *U //p')" ] || { echo "no symbols in $archive"; exit 1; }
[ -z "$found" ] && exit 0
echo "the decision library uses: $found"
exit 1
