#ifndef REDWING_DELIVERY_INTERNAL_PLACE_SEQUENCE_H_
#define REDWING_DELIVERY_INTERNAL_PLACE_SEQUENCE_H_

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
struct Place;

// Selects the next candidate for a request and sends it there. All arguments of
// the constructor must outlive this object.
class PlaceSequence {
 public:
  PlaceSequence(const CarrierServices& services,
                const DeliveryOptions& options,
                UpstreamSender& sender);

  // Sends the request to the next candidate; marks the delivery as exhausted if
  // none is left. Fails as UpstreamSender does.
  Result<void> TryNext(Delivery& delivery, const Yield& yield);

 private:
  // Sends the request to the next target through its slot leader.
  Result<void> TryNextPlace(Delivery& delivery, const Yield& yield);
  // Sends the request to the target that the forwarding instance has selected.
  Result<void> TryWantedTarget(Delivery& delivery, const Yield& yield);
  Result<void> TryLeader(Delivery& delivery,
                         const Place& place,
                         const Yield& yield);
  Result<void> TryOnce(Delivery& delivery,
                       const std::string& region,
                       const Yield& yield);
  Result<void> TryRegion(Delivery& delivery,
                         const std::string& region,
                         const Yield& yield);
  // Returns the region for the next attempt; std::nullopt if none is left.
  std::optional<std::string> ChooseRegion(Delivery& delivery) const;
  std::vector<std::string> OtherRegions(const Delivery& delivery) const;
  const Member* ChooseEntry(const std::string& region);

  const CarrierServices& services_;
  const DeliveryOptions& options_;
  UpstreamSender& sender_;
  std::mt19937_64 random_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_PLACE_SEQUENCE_H_
