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

// Returns by how many requests the worst window, of whatever length, exceeds
// rate x length + burst; negative when none does.
double WorstOverrun(const std::vector<double>& times,
                    double rate,
                    double burst);

// Largest number of bytes over any second of a meter that counts in tenths.
double WorstSecond(const nlohmann::json& tenths);

}  // namespace redwing::testing

#endif  // REDWING_TESTING_HARNESS_WINDOWS_H_
