#ifndef REDWING_MEMBERSHIP_IDENTITY_H_
#define REDWING_MEMBERSHIP_IDENTITY_H_

#include <string>
#include <string_view>

namespace redwing {

// Who this process is, from its settings.
struct Identity {
  static constexpr std::string_view kServiceName = "identity";

  std::string name;
  std::string region;
  std::string failure_domain;
  // Where other entries reach it.
  std::string http_address;
  // Where callers reach it; empty: at http_address.
  std::string caller_address;
  std::string peer_address;
  std::string process_id;
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_IDENTITY_H_
