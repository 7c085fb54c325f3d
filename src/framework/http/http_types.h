#ifndef REDWING_FRAMEWORK_HTTP_HTTP_TYPES_H_
#define REDWING_FRAMEWORK_HTTP_HTTP_TYPES_H_

#include <boost/asio/spawn.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <string_view>

namespace redwing {

namespace http = boost::beast::http;

// Handle of the running coroutine; operations given it suspend the coroutine.
using Yield = boost::asio::yield_context;

using RequestHeader = http::request_header<>;
using ResponseHeader = http::response_header<>;

// Converts between the string views of Beast and of the standard library.
inline std::string_view StdView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}
inline boost::beast::string_view BeastView(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_HTTP_TYPES_H_
