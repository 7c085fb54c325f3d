#ifndef REDWING_TESTING_HARNESS_WINDOWS_H_
#define REDWING_TESTING_HARNESS_WINDOWS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace redwing::testing {

// Times of a workspace's runs, in seconds, sorted. `runs` as of Fleet::Runs().
std::vector<double> RunTimes(const nlohmann::json& runs,
                             const std::string& workspace);

// The same of the times at which the requests arrived at their targets, before
// they waited for slots there.
std::vector<double> ArrivalTimes(const nlohmann::json& runs,
                                 const std::string& workspace);

// A time, in seconds, during which what stamps the runs stood still, or what
// lies before it.
struct Stall {
  double begun = 0;
  double ended = 0;
};

// Reads the stalls that the targets' process and the proxy tell of, on the
// clock of the runs.
std::vector<Stall> ReadStalls(const nlohmann::json& at_targets,
                              const nlohmann::json& at_proxy);

// Returns by how many requests the worst window, of whatever length, exceeds
// rate x length + burst; negative when none does. What is stamped at the end of
// a stall may have come at any time since its beginning.
double WorstOverrun(const std::vector<double>& times,
                    double rate,
                    double burst,
                    const std::vector<Stall>& stalls = {});

// Returns the length of the longest stall, in seconds.
double LongestStall(const std::vector<Stall>& stalls);

// Largest number of bytes over any second of a meter that counts in tenths.
double WorstSecond(const nlohmann::json& tenths);

}  // namespace redwing::testing

#endif  // REDWING_TESTING_HARNESS_WINDOWS_H_
