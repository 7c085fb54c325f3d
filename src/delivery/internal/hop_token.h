#ifndef REDWING_DELIVERY_INTERNAL_HOP_TOKEN_H_
#define REDWING_DELIVERY_INTERNAL_HOP_TOKEN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "framework/errors/result.h"
#include "framework/wire/payload.h"

namespace redwing {

// Data about a forwarded request that one instance passes to another. Sent in
// the field X-Redwing-Hop, signed with the fleet's secret.
struct HopToken {
  std::string to_process;
  std::string from_region;
  std::string workspace;
  std::string key_id;
  std::string request_id;
  // Method and request target as RequestLineOf() returns them; binds the token
  // to one request.
  std::string request_line;
  // Name of the route by host, the selected service, and the request target as
  // the caller wrote it; empty if the route belongs to the service. The target
  // is also empty if it is too long for a token: see TargetOf().
  std::string host_route;
  std::string service;
  std::string target;
  // The only target that may receive the request; empty if any target of the
  // region may.
  std::string required_target;
  // Time since the request arrived at the first instance, in milliseconds.
  uint32_t age_ms = 0;
  // Number of attempts that are still allowed.
  uint32_t attempts = 1;
  uint32_t remaining_ms = 0;
  bool owner_hop = false;
  // Whether the request must not run more than once by the configuration of an
  // instance that it has passed.
  bool runs_once = false;
  // Whether the owner of the idempotency key has registered the request, so
  // that it is delivered as one without a key.
  bool key_registered = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(to_process, from_region, workspace, key_id, request_id,
            request_line, host_route, service, target, required_target, age_ms,
            attempts, remaining_ms, owner_hop);
    ArchiveAppended(archive, runs_once);
    ArchiveAppended(archive, key_registered);
  }
};

// Longest request line that a token repeats. With a longer one, a request would
// exceed the 16 KB that builds without digests accept as a head.
constexpr size_t kMaxTokenLine = 3 * 1024;  // bytes

// Returns a request line as a token holds it: as it is, or the digest of a long
// one, so that the size of a token does not depend on the request.
std::string RequestLineOf(std::string_view method, std::string_view target);

// Returns the caller's request target, which the token holds, or which is the
// rest of `forwarded_target` after the prefix and the service.
std::string TargetOf(const HopToken& token,
                     std::string_view prefix,
                     std::string_view forwarded_target);

// Checks that a token is for the given process and request. Fails with
// kPeerUnreachable, kNotRun if the addressed process has been replaced or the
// hop was misrouted; neither is the caller's error, and another candidate may
// succeed. A hop to a replaced process as the owner of a key fails with
// kIdempotencyOutcomeUnknown, kMayHaveRun: what the key did is not known here.
Result<void> CheckAddressee(const HopToken& token,
                            const std::string& process_id,
                            std::string_view method,
                            std::string_view target);

// Signs hop tokens with the first secret and verifies them with any secret.
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
