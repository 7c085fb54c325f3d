#include "delivery/internal/header_rules.h"

#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <iterator>
#include <string>
#include <vector>

namespace redwing {

namespace {
constexpr std::array<http::field, 9> kHopByHopFields = {
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_connection,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
    http::field::proxy_authenticate,
    http::field::expect};
}  // namespace

void RemoveHopByHopFields(http::fields* fields) {
  std::vector<std::string> named;
  const auto connection = fields->equal_range(http::field::connection);
  for (auto field = connection.first; field != connection.second; ++field) {
    const http::token_list tokens(field->value());
    for (auto token = tokens.begin(); token != tokens.end(); ++token) {
      named.emplace_back(token->data(), token->size());
    }
  }
  for (const std::string& name : named) {
    // Content-Length still frames the message if a sender names it hop-by-hop.
    if (!boost::beast::iequals(name, "content-length") &&
        !boost::beast::iequals(name, "host")) {
      fields->erase(name);
    }
  }
  for (const http::field field : kHopByHopFields) {
    fields->erase(field);
  }
}

void RemoveInternalFields(http::fields* fields) {
  for (auto field = fields->begin(); field != fields->end();) {
    const auto next = std::next(field);
    const boost::beast::string_view name = field->name_string();
    if (boost::beast::iequals(name.substr(0, kInternalPrefix.size()),
                              BeastView(kInternalPrefix))) {
      fields->erase(field);
    }
    field = next;
  }
}

}  // namespace redwing
