#ifndef REDWING_ROUTING_INTERNAL_WEIGHTED_LOOKUP_H_
#define REDWING_ROUTING_INTERNAL_WEIGHTED_LOOKUP_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "framework/kernel/periodic_task.h"
#include "routing/entry_lookup.h"

namespace redwing {

class Membership;
class SteeringConfig;
struct Heartbeat;
struct Identity;
struct Member;

// Orders the entry instances by weighted random selection: the caller's region
// first, weighted by headroom within a region. Responses are rendered in
// advance, kVariants for each pair of service and region, and returned in
// rotation.
class WeightedLookup : public EntryLookup {
 public:
  static constexpr size_t kVariants = 16;

  WeightedLookup(boost::asio::io_context& io,
                 std::shared_ptr<Identity> identity,
                 Milliseconds ttl);

  void Attach(std::shared_ptr<Membership> membership,
              std::shared_ptr<SteeringConfig> config);
  // Sets the function that returns this instance's load, from 0 to 1000.
  void SetLoadSource(std::function<uint16_t()> load);
  void Start();
  void Stop();

  Result<std::string> LookUp(std::string_view service,
                             std::string_view region) override;
  std::vector<std::string> CallerAddresses(std::string_view region) override;
  void SetEpochSource(std::function<uint32_t()> epoch) override;

 private:
  struct Candidate {
    std::string instance;
    std::string region;
    std::string address;
    std::string key_prefix;
    double weight;
  };
  struct Responses {
    std::vector<std::string> variants;
    size_t next = 0;
  };

  void Refresh();
  // Adjusts an instance's weight towards its headroom by a bounded step.
  // Returns the new weight.
  double AdjustWeight(const std::string& instance, uint16_t load_permille);
  std::vector<Candidate> Candidates();
  std::vector<Candidate> Order(const std::vector<Candidate>& candidates,
                               std::string_view region);
  std::string Render(std::string_view service,
                     const std::vector<Candidate>& ordered) const;

  std::shared_ptr<Identity> identity_;
  Milliseconds ttl_;
  std::shared_ptr<Membership> membership_;
  std::shared_ptr<SteeringConfig> config_;
  std::function<uint16_t()> load_;
  std::function<uint32_t()> epoch_;
  std::map<std::string, uint16_t> peer_loads_;
  std::map<std::string, double> weights_;
  std::vector<Candidate> candidates_;
  // Rendered responses by service and region; filled on demand, cleared by
  // Refresh().
  std::map<std::string,
           std::map<std::string, Responses, std::less<>>,
           std::less<>>
      responses_;
  std::mt19937_64 random_;
  PeriodicTask refresh_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_WEIGHTED_LOOKUP_H_
