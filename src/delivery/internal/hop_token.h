#ifndef REDWING_DELIVERY_INTERNAL_HOP_TOKEN_H_
#define REDWING_DELIVERY_INTERNAL_HOP_TOKEN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "framework/errors/result.h"

namespace redwing {

// What one entry tells another about a request that it forwards. Travels in
// the field X-Redwing-Hop, signed with the fleet's secret.
struct HopToken {
  std::string to_process;
  std::string from_region;
  std::string workspace;
  std::string key_id;
  std::string request_id;
  // Method and target, so that a token fits one request only.
  std::string request_line;
  // Name of the route by host, the service chosen, and the target as the
  // caller wrote it; empty when the route is one of the service.
  std::string host_route;
  std::string service;
  std::string target;
  // The only target that will do; empty for any of the region.
  std::string wanted_target;
  // For how long the request has been on its way.
  uint32_t age_ms = 0;
  // Targets to which the request may still be sent.
  uint32_t attempts = 1;
  uint32_t remaining_ms = 0;
  bool owner_hop = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(to_process, from_region, workspace, key_id, request_id,
            request_line, host_route, service, target, wanted_target, age_ms,
            attempts, remaining_ms, owner_hop);
  }
};

// Checks that a token is for a process and a request. Fails with
// kPeerUnreachable, kNotRun: the process that it was for has been replaced
// meanwhile, or the hop went astray; no fault of the caller's, and another
// place may do.
Result<void> CheckAddressee(const HopToken& token,
                            const std::string& process_id,
                            const std::string& request_line);

// Signs with the first secret; verifies with any.
class HopSigner {
 public:
  explicit HopSigner(std::vector<std::string> secrets)
      : secrets_(std::move(secrets)) {}

  std::string Sign(const HopToken& token) const;
  Result<HopToken> Verify(std::string_view text) const;

 private:
  std::vector<std::string> secrets_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_HOP_TOKEN_H_
