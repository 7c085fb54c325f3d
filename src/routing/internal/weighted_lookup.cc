#include "routing/internal/weighted_lookup.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "config/steering_config.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "routing/key_prefix.h"

namespace redwing {

namespace {
constexpr Milliseconds kRefreshInterval{200};
constexpr double kFullLoad = 1000;
constexpr double kMinWeight = 0.05;
constexpr double kMaxWeightStep = 0.1;
// Smaller differences do not change a weight.
constexpr double kHysteresis = 0.05;

// Returns the address at which callers reach an instance.
template <typename Instance>
const std::string& CallerAddress(const Instance& instance) {
  return instance.caller_address.empty() ? instance.http_address
                                         : instance.caller_address;
}
}  // namespace

WeightedLookup::WeightedLookup(boost::asio::io_context& io,
                               std::shared_ptr<Identity> identity,
                               Milliseconds ttl)
    : identity_(std::move(identity)),
      ttl_(ttl),
      load_([]() { return uint16_t{0}; }),
      epoch_([]() { return uint32_t{0}; }),
      random_(std::random_device{}()),
      refresh_(io, kRefreshInterval, [this]() { Refresh(); }) {}

void WeightedLookup::Attach(std::shared_ptr<Membership> membership,
                            std::shared_ptr<SteeringConfig> config) {
  membership_ = std::move(membership);
  config_ = std::move(config);
  membership_->AddHeartbeatSource([this](Heartbeat& heartbeat) {
    heartbeat.ready = config_->ready();
    heartbeat.load_permille = load_();
    heartbeat.key_epoch = epoch_();
  });
  membership_->on_heartbeat().Subscribe(
      [this](const Member& member, const Heartbeat& heartbeat) {
        peer_loads_[member.name] = heartbeat.load_permille;
      });
  membership_->on_change().Subscribe(
      [this](const Member& /*member*/) { Refresh(); });
  config_->on_change().Subscribe([this]() { Refresh(); });
}

void WeightedLookup::SetLoadSource(std::function<uint16_t()> load) {
  load_ = std::move(load);
}

void WeightedLookup::Start() {
  Refresh();
  refresh_.Start();
}

void WeightedLookup::Stop() {
  refresh_.Stop();
}

Result<std::string> WeightedLookup::LookUp(std::string_view service,
                                           std::string_view region) {
  const std::string_view from = region.empty() ? identity_->region : region;
  auto by_region = responses_.find(service);
  if (by_region == responses_.end()) {
    if (config_->document()->FindService(service) == nullptr) {
      return NotRun(Errc::kUnknownService,
                    fmt::format("service \"{}\" does not exist", service));
    }
    by_region = responses_.try_emplace(std::string(service)).first;
  }
  auto responses = by_region->second.find(from);
  if (responses == by_region->second.end()) {
    if (config_->document()->FindRegion(from) == nullptr) {
      return NotRun(Errc::kMalformedRequest,
                    fmt::format("region \"{}\" does not exist", from));
    }
    responses = by_region->second.try_emplace(std::string(from)).first;
  }
  Responses& rendered = responses->second;
  if (rendered.variants.size() < kVariants) {
    rendered.variants.push_back(Render(service, Order(candidates_, from)));
    return rendered.variants.back();
  }
  rendered.next = (rendered.next + 1) % kVariants;
  return rendered.variants[rendered.next];
}

std::vector<std::string> WeightedLookup::CallerAddresses(
    std::string_view region) {
  std::vector<std::string> local;
  std::vector<std::string> all;
  for (const Candidate& candidate : Order(candidates_, region)) {
    all.push_back(candidate.address);
    if (candidate.region == region) {
      local.push_back(candidate.address);
    }
  }
  return local.empty() ? all : local;
}

void WeightedLookup::SetEpochSource(std::function<uint32_t()> epoch) {
  epoch_ = std::move(epoch);
}

void WeightedLookup::Refresh() {
  candidates_ = Candidates();
  responses_.clear();
}

double WeightedLookup::AdjustWeight(const std::string& instance,
                                    uint16_t load_permille) {
  const double headroom = std::max(kMinWeight, 1 - load_permille / kFullLoad);
  double& weight = weights_.emplace(instance, headroom).first->second;
  if (std::abs(headroom - weight) > kHysteresis) {
    weight += std::clamp(headroom - weight, -kMaxWeightStep, kMaxWeightStep);
  }
  return weight;
}

std::vector<WeightedLookup::Candidate> WeightedLookup::Candidates() {
  const Drains& drains = config_->drains();
  std::vector<Candidate> candidates;
  const auto drained = [&drains](const std::string& instance,
                                 const std::string& region,
                                 const std::string& failure_domain) {
    return drains.instances.count(instance) > 0 ||
           drains.regions.count(region) > 0 ||
           drains.failure_domains.count(failure_domain) > 0;
  };
  if (!membership_->leaving() && config_->ready() &&
      !drained(identity_->name, identity_->region, identity_->failure_domain)) {
    candidates.push_back({identity_->name, identity_->region,
                          CallerAddress(*identity_),
                          KeyPrefix(identity_->process_id, epoch_()),
                          AdjustWeight(identity_->name, load_())});
  }
  for (const auto& [name, member] : membership_->members()) {
    if (member.usable() && member.ready &&
        !drained(name, member.region, member.failure_domain)) {
      candidates.push_back({name, member.region, CallerAddress(member),
                            KeyPrefix(member.process_id, member.key_epoch),
                            AdjustWeight(name, peer_loads_[name])});
    }
  }
  return candidates;
}

std::vector<WeightedLookup::Candidate> WeightedLookup::Order(
    const std::vector<Candidate>& candidates,
    std::string_view region) {
  struct Ranked {
    const Candidate* candidate;
    bool local;
    double key;
  };
  std::uniform_real_distribution<double> uniform(1e-9, 1);
  std::vector<Ranked> ranked;
  ranked.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    // Weighted random selection without replacement. Efraimidis and Spirakis
    // 2006.
    ranked.push_back({&candidate, candidate.region == region,
                      std::pow(uniform(random_), 1 / candidate.weight)});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return a.local != b.local ? a.local : a.key > b.key;
  });
  std::vector<Candidate> ordered;
  ordered.reserve(ranked.size());
  for (const Ranked& item : ranked) {
    ordered.push_back(*item.candidate);
  }
  return ordered;
}

std::string WeightedLookup::Render(
    std::string_view service,
    const std::vector<Candidate>& ordered) const {
  nlohmann::json entries = nlohmann::json::array();
  for (const Candidate& candidate : ordered) {
    entries.push_back({{"instance", candidate.instance},
                       {"region", candidate.region},
                       {"address", candidate.address},
                       {"idempotency_prefix", candidate.key_prefix}});
  }
  return nlohmann::json({{"service", service},
                         {"ttl_ms", ttl_.count()},
                         {"entries", std::move(entries)}})
      .dump();
}

}  // namespace redwing
