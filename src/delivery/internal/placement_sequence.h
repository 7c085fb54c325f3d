#ifndef REDWING_DELIVERY_INTERNAL_PLACEMENT_SEQUENCE_H_
#define REDWING_DELIVERY_INTERNAL_PLACEMENT_SEQUENCE_H_

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"

namespace redwing {

class UpstreamSender;
struct CarrierServices;
struct Delivery;
struct DeliveryOptions;
struct Member;
struct TargetPlacement;

// Selects the next candidate for a request and sends it there. All arguments of
// the constructor must outlive this object.
class PlacementSequence {
 public:
  PlacementSequence(const CarrierServices& services,
                    const DeliveryOptions& options,
                    UpstreamSender& sender);

  // Sends the request to the next candidate; marks the delivery as exhausted if
  // none is left. Fails as UpstreamSender does.
  Result<void> TryNext(Delivery& delivery, const Yield& yield);

 private:
  // Sends the request to the next target through its slot leader.
  Result<void> TryNextPlacement(Delivery& delivery, const Yield& yield);
  // Sends the request to the target that the forwarding instance has selected.
  Result<void> SendToSelectedTarget(Delivery& delivery, const Yield& yield);
  Result<void> ForwardToLeader(Delivery& delivery,
                               const TargetPlacement& place,
                               const Yield& yield);
  Result<void> SendToRegion(Delivery& delivery,
                            const std::string& region,
                            const Yield& yield);
  Result<void> ForwardToRegion(Delivery& delivery,
                               const std::string& region,
                               const Yield& yield);
  // Returns the region for the next attempt; std::nullopt if none is left.
  std::optional<std::string> SelectRegion(Delivery& delivery) const;
  std::vector<std::string> OtherRegions(const Delivery& delivery) const;
  const Member* SelectInstance(const std::string& region);

  const CarrierServices& services_;
  const DeliveryOptions& options_;
  UpstreamSender& sender_;
  std::mt19937_64 random_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_PLACEMENT_SEQUENCE_H_
