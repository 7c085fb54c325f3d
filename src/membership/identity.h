#ifndef REDWING_MEMBERSHIP_IDENTITY_H_
#define REDWING_MEMBERSHIP_IDENTITY_H_

#include <string>
#include <string_view>

namespace redwing {

// Name, location and addresses of this process, from its settings.
struct Identity {
  static constexpr std::string_view kServiceName = "identity";

  std::string name;
  std::string region;
  std::string failure_domain;
  // Address at which other instances reach its HTTP server.
  std::string http_address;
  // Address at which callers reach it; if empty, http_address.
  std::string caller_address;
  std::string peer_address;
  std::string process_id;
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_IDENTITY_H_
