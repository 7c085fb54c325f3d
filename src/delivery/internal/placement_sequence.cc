#include "delivery/internal/placement_sequence.h"

#include <algorithm>

#include "delivery/delivery_options.h"
#include "delivery/internal/carrier_services.h"
#include "delivery/internal/delivery.h"
#include "delivery/internal/request_context.h"
#include "delivery/internal/retry_rules.h"
#include "delivery/internal/upstream_sender.h"
#include "delivery/internal/wait_policy.h"
#include "framework/wire/digest.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "routing/placement.h"
#include "routing/target_router.h"

namespace redwing {

namespace {
// Number of slot leaders that may refuse a request before the caller is
// refused.
constexpr int kMaxLeaderRefusals = 3;
}  // namespace

PlacementSequence::PlacementSequence(const CarrierServices& services,
                                     const DeliveryOptions& options,
                                     UpstreamSender& sender)
    : services_(services),
      options_(options),
      sender_(sender),
      random_(std::random_device{}()) {}

Result<void> PlacementSequence::TryNext(Delivery& delivery,
                                        const Yield& yield) {
  if (options_.led_targets) {
    return TryNextPlacement(delivery, yield);
  }
  const std::optional<std::string> region = SelectRegion(delivery);
  if (!region) {
    delivery.exhausted = true;
    return NotRun(Errc::kNoTarget, "no candidate region is left");
  }
  return SendToRegion(delivery, *region, yield);
}

Result<void> PlacementSequence::TryNextPlacement(Delivery& delivery,
                                                 const Yield& yield) {
  const RequestContext& context = delivery.context;
  const std::string& own = services_.identity->region;
  if (context.forwarded() && delivery.selected_target.empty()) {
    return SendToSelectedTarget(delivery, yield);
  }
  if (context.forwarded() &&
      (context.from_region == own || delivery.sent > 0)) {
    // The forwarding instance selects another candidate itself and counts the
    // attempts.
    delivery.exhausted = true;
    return NotRun(Errc::kNoTarget, "the selected target was already tried");
  }
  PlacementRequest wanted;
  wanted.from_caller = !context.forwarded();
  wanted.service = context.service->name;
  wanted.affinity_key = context.route->affinity && !context.affinity_key.empty()
                            ? context.affinity_key
                            : context.request_id;
  wanted.tried_targets = delivery.tried_targets;
  // A request from another region gets another candidate in this region: the
  // round trip back to that region takes far longer than the one to another
  // slot leader here.
  wanted.may_run_in = [&context, &own](const std::string& region) {
    return (!context.forwarded() || region == own) && context.MayRunIn(region);
  };
  wanted.max_wait = AllowedWait(sender_.WaitRequestOf(context));
  const Result<TargetPlacement> found =
      services_.placement->SelectTarget(wanted);
  if (!found || delivery.refusals >= kMaxLeaderRefusals) {
    delivery.exhausted = true;
    return found ? NotRun(Errc::kQueueFull, "too many targets had no free slot")
                 : found.error();
  }
  const TargetPlacement& place = found.value();
  delivery.tried_targets.insert(place.target);
  delivery.selected_target = place.target;
  delivery.expected = place.expected;
  const Result<void> result = place.leader.empty()
                                  ? sender_.SendToTarget(delivery, yield)
                                  : ForwardToLeader(delivery, place, yield);
  if (!result && IsRefusedBeforeSending(result.error().errc)) {
    ++delivery.refusals;
    if (result.error().errc == Errc::kQueueFull ||
        result.error().errc == Errc::kTargetBackoff) {
      services_.placement->RecordFull(place, result.error().retry_after);
    }
    if (wanted.from_caller) {
      services_.placement->CancelPlacement(place);
    }
  }
  return result;
}

Result<void> PlacementSequence::SendToSelectedTarget(Delivery& delivery,
                                                     const Yield& yield) {
  // The target was selected by the instance that the caller uses.
  delivery.selected_target = delivery.context.required_target;
  delivery.tried_targets.insert(delivery.selected_target);
  const Result<void> result = sender_.SendToTarget(delivery, yield);
  if (!result && IsRefusedBeforeSending(result.error().errc)) {
    ++delivery.refusals;
  }
  return result;
}

Result<void> PlacementSequence::ForwardToLeader(Delivery& delivery,
                                                const TargetPlacement& place,
                                                const Yield& yield) {
  const Member* const member = services_.membership->Find(place.leader);
  if (member == nullptr) {
    return NotRun(Errc::kPeerUnreachable,
                  "the target's slot leader is no longer a member");
  }
  const Member leader = *member;
  if (delivery.IsAbandoned()) {
    return NotRun(Errc::kCallerGone, "the caller has disconnected");
  }
  services_.placement->BeginForward(place);
  delivery.connect_time.reset();
  const Result<void> result =
      sender_.ForwardToInstance(delivery, leader, false, yield);
  services_.placement->EndForward(place, delivery.connect_time);
  return result;
}

Result<void> PlacementSequence::SendToRegion(Delivery& delivery,
                                             const std::string& region,
                                             const Yield& yield) {
  return region == services_.identity->region
             ? sender_.SendToTarget(delivery, yield)
             : ForwardToRegion(delivery, region, yield);
}

Result<void> PlacementSequence::ForwardToRegion(Delivery& delivery,
                                                const std::string& region,
                                                const Yield& yield) {
  delivery.tried_regions.insert(region);
  const Member* const member = SelectInstance(region);
  if (member == nullptr) {
    return NotRun(Errc::kPeerUnreachable,
                  "no instance of the region is reachable");
  }
  const Member chosen = *member;
  return sender_.ForwardToInstance(delivery, chosen, false, yield);
}

std::optional<std::string> PlacementSequence::SelectRegion(
    Delivery& delivery) const {
  const RequestContext& context = delivery.context;
  const std::string& own = services_.identity->region;
  const std::string& service = context.service->name;
  const bool own_allowed = context.MayRunIn(own);
  const bool own_left = own_allowed && delivery.tried_regions.count(own) == 0;
  if (own_left &&
      (!context.may_forward() || services_.router->HasUsableTarget(service))) {
    return own;
  }
  if (!context.may_forward()) {
    return std::nullopt;
  }
  const std::vector<std::string> regions = OtherRegions(delivery);
  if (!regions.empty()) {
    // Selects by the request's hash, so that the other regions share the
    // shifted load.
    return regions[Hash64(context.request_id) % regions.size()];
  }
  if (!own_allowed || delivery.wait_for_slot ||
      !services_.router->HasUsableTarget(service)) {
    return std::nullopt;
  }
  // No region has a free slot, so the request waits for one here.
  delivery.wait_for_slot = true;
  return own;
}

std::vector<std::string> PlacementSequence::OtherRegions(
    const Delivery& delivery) const {
  std::vector<std::string> regions;
  for (const std::string& region :
       services_.router->RegionsOf(delivery.context.service->name)) {
    const bool reachable = std::any_of(
        services_.membership->members().begin(),
        services_.membership->members().end(),
        [&region](const Membership::MemberMap::value_type& item) {
          return item.second.usable() && item.second.region == region;
        });
    if (reachable && region != services_.identity->region &&
        delivery.context.MayRunIn(region) &&
        delivery.tried_regions.count(region) == 0) {
      regions.push_back(region);
    }
  }
  return regions;
}

const Member* PlacementSequence::SelectInstance(const std::string& region) {
  std::vector<const Member*> entries;
  for (const auto& [name, member] : services_.membership->members()) {
    if (member.usable() && member.region == region) {
      entries.push_back(&member);
    }
  }
  if (entries.empty()) {
    return nullptr;
  }
  return entries[std::uniform_int_distribution<size_t>(
      0, entries.size() - 1)(random_)];
}

}  // namespace redwing
