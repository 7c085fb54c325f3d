#ifndef REDWING_TESTING_BENCH_SCENARIOS_H_
#define REDWING_TESTING_BENCH_SCENARIOS_H_

#include <nlohmann/json.hpp>

#include "testing/bench/bench_support.h"

namespace redwing::testing {

// All callers of a workspace, sending `part` of its rate, at one region, then
// at another.
nlohmann::json MeasureSkew(const BenchOptions& options, double part);
// One workspace at five times its rate beside one at `options.part` of it.
nlohmann::json MeasureNoisy(const BenchOptions& options);
// Rempah's deployment: a region is drained under load with large answers.
nlohmann::json MeasureShift(const BenchOptions& options);

// The same load straight to a target, through the proxy, through an entry.
nlohmann::json MeasureLatency(const BenchOptions& options);
// Processor time of an entry for a carried request and for a look-up.
nlohmann::json MeasureCost(const BenchOptions& options);
// Memory of an entry with open connections.
nlohmann::json MeasureConnections(const BenchOptions& options);
// Latency at `options.part` of the slots of the registry's look-up service.
nlohmann::json MeasureChoice(const BenchOptions& options);

// What control costs an idle entry: processor time, datagrams, store calls.
nlohmann::json MeasureControl(const BenchOptions& options);
// Time from an accepted edit until it is in force at the last of 11 instances.
nlohmann::json MeasureSpread(const BenchOptions& options);
// Time from a withdrawal to the last run of its key.
nlohmann::json MeasureWithdrawal(const BenchOptions& options);

// Memory and time of a look-up in a table of 1.4 million client blocks.
nlohmann::json MeasureClientBlocks(const BenchOptions& options);
// Processor time of an admission from a share that has tokens.
nlohmann::json MeasureAdmission(const BenchOptions& options);

}  // namespace redwing::testing

#endif  // REDWING_TESTING_BENCH_SCENARIOS_H_
