#!/bin/sh
# Builds the programs of the cases 6 to 10 into target/review-2: those of 6, 8,
# 9 and 10 from the libraries that the build of the deploy file leaves in
# target/, that of 7 (stage) from its one source. The others show what stands
# beside the cases in REPORT-2.md; ready-before-lookup a test's failure.
set -e
cd "$(dirname "$0")/.."
OUT=target/review-2
mkdir -p "$OUT"
FLAGS="-std=c++20 -O1 -include utility -I. -Isrc -DBOOST_ASIO_NO_DEPRECATED \
  -DBOOST_COROUTINES_NO_DEPRECATION_WARNING -DBOOST_ALLOW_DEPRECATED_HEADERS \
  -DSPDLOG_COMPILED_LIB -DSPDLOG_SHARED_LIB -DSPDLOG_FMT_EXTERNAL"
LIBS=""
for NAME in entry delivery budget routing config membership framework/peer \
  store framework/http framework/kernel framework/metrics framework/log keys \
  framework/wire steering framework/settings framework/errors; do
  LIBS="$LIBS target/src/$NAME/librw_$(basename "$NAME").a"
done
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/stand_ins_2/stage.cc \
  -o "$OUT/stage"
OBJECTS=""
for SOURCE in review/stand_ins_2/fleet review/stand_ins_2/callers \
  testing/harness/process testing/harness/sync_client \
  testing/platform_stand_in/store_stand_in \
  testing/platform_stand_in/target_stand_in; do
  OBJECT="$OUT/$(basename "$SOURCE").o"
  rm -f "$OBJECT"
  # shellcheck disable=SC2086
  g++ $FLAGS -c "$SOURCE.cc" -o "$OBJECT" &
  OBJECTS="$OBJECTS $OBJECT"
done
wait
link() {
  # shellcheck disable=SC2086
  g++ $FLAGS "$1" $OBJECTS -Wl,--start-group $LIBS -Wl,--end-group \
    -lboost_coroutine -lboost_context -lboost_thread -lboost_chrono \
    -lspdlog -lfmt -lsodium -lxxhash -lz -lpthread \
    -o "$OUT/$2"
}
for CASE in review/*/fleet_case.cc; do
  link "$CASE" "case$(basename "$(dirname "$CASE")")"
done
link review/stand_ins_2/lost_secret.cc lost-secret
link review/stand_ins_2/cold_behind_store.cc cold-behind-store
link review/stand_ins_2/ready_before_lookup.cc ready-before-lookup
link review/stand_ins_2/slow_bodies.cc slow-bodies
sh review/stand_ins_3/build.sh
