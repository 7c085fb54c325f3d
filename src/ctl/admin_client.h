#ifndef REDWING_CTL_ADMIN_CLIENT_H_
#define REDWING_CTL_ADMIN_CLIENT_H_

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"

namespace redwing {

// Calls the administration API and waits for the answer.
class AdminClient {
 public:
  AdminClient(boost::asio::ip::tcp::endpoint endpoint, std::string key)
      : endpoint_(std::move(endpoint)), key_(std::move(key)) {}

  Result<nlohmann::json> Call(http::verb method,
                              const std::string& target,
                              const nlohmann::json& body = nullptr) const;

 private:
  boost::asio::ip::tcp::endpoint endpoint_;
  std::string key_;
};

}  // namespace redwing

#endif  // REDWING_CTL_ADMIN_CLIENT_H_
