#ifndef REDWING_ADMIN_FLEET_VIEW_H_
#define REDWING_ADMIN_FLEET_VIEW_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "framework/errors/result.h"
#include "framework/http/http_client.h"

namespace redwing {

// Asks the fleet's instances, by way of the entry beside this process.
class FleetView {
 public:
  FleetView(boost::asio::io_context& io,
            SocketRegistry& sockets,
            std::string entry_address,
            std::string fleet_secret);

  // Returns the status of every instance that answers; for the others an
  // object with "unreachable".
  Result<nlohmann::json> Status(const Yield& yield);

  // Returns what every instance that answers decided on a request, with the
  // members of Status().
  Result<nlohmann::json> Decisions(const std::string& request_id,
                                   const Yield& yield);

  // Withdraws a key by way of the entry beside this process.
  Result<nlohmann::json> Withdraw(const std::string& key_id,
                                  const std::string& by,
                                  const Yield& yield);

 private:
  // Appends what the members in a status answer to `instances`.
  void AskMembers(const nlohmann::json& status,
                  const std::string& target,
                  nlohmann::json* instances,
                  const Yield& yield);
  Result<nlohmann::json> CallEntry(const std::string& address,
                                   http::verb method,
                                   const std::string& target,
                                   const Yield& yield);

  HttpClient client_;
  std::string entry_address_;
  std::string fleet_secret_;
};

}  // namespace redwing

#endif  // REDWING_ADMIN_FLEET_VIEW_H_
