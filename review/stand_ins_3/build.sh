#!/bin/sh
# Builds the stand-ins of this folder into target/review-2. Needs the
# build of the deploy file, whose libraries they are linked with.
set -eu
cd "$(dirname "$0")/../.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O2 -Wall -Wextra -Isrc -I. -include utility
  -DBOOST_ASIO_NO_DEPRECATED -DBOOST_ALLOW_DEPRECATED_HEADERS
  -DBOOST_COROUTINES_NO_DEPRECATION_WARNING
  -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL -DREDWING_VERSION=\"review\""
libraries=$(find target/src target/platform -name 'librw_*.a')
common="review/stand_ins_3/small_deployment.cc
  review/stand_ins_3/store.cc testing/harness/sync_client.cc"
objects=""
for source in $common; do
  object="$out/$(basename "$source" .cc)-3.o"
  rm -f "$object"
  # shellcheck disable=SC2086
  g++ $flags -c "$source" -o "$object" &
  objects="$objects $object"
done
wait
for program in upstream lifted_allowance restarted_upstreams high_revisions; do
  # shellcheck disable=SC2086
  g++ $flags "review/stand_ins_3/$program.cc" $objects \
    -o "$out/review-$(echo "$program" | tr _ -)" \
    -Wl,--start-group $libraries -Wl,--end-group \
    -lboost_coroutine -lboost_context -lspdlog -lfmt -lsodium -lxxhash -lz -lpthread &
done
wait
for program in upstream lifted_allowance restarted_upstreams high_revisions; do
  test -x "$out/review-$(echo "$program" | tr _ -)"
done
