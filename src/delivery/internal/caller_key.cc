#include "delivery/internal/caller_key.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <vector>

namespace redwing {

namespace {

constexpr std::array<std::string_view, 3> kCredentialFields = {
    "Authorization", "Proxy-Authorization", "X-Api-Key"};
constexpr std::array<std::string_view, 4> kCredentialParameters = {
    "api_key", "apikey", "key", "access_token"};
constexpr std::string_view kBearer = "bearer ";

bool IsOneOf(std::string_view name,
             const std::string_view* begin,
             const std::string_view* end) {
  return std::any_of(begin, end, [name](std::string_view item) {
    return boost::beast::iequals(BeastView(name), BeastView(item));
  });
}

bool IsCredentialField(std::string_view name) {
  return IsOneOf(name, kCredentialFields.data(),
                 kCredentialFields.data() + kCredentialFields.size());
}

bool IsCredentialParameter(std::string_view name) {
  return IsOneOf(name, kCredentialParameters.data(),
                 kCredentialParameters.data() + kCredentialParameters.size());
}

std::string BearerOf(std::string_view value) {
  const bool bearer =
      value.size() > kBearer.size() &&
      boost::beast::iequals(BeastView(value.substr(0, kBearer.size())),
                            BeastView(kBearer));
  return bearer ? std::string(value.substr(kBearer.size())) : "";
}

}  // namespace

Result<std::string> FindCallerKey(const RequestHeader& header, const Url& url) {
  std::vector<std::string> found;
  for (auto field = header.begin(); field != header.end(); ++field) {
    if (field->name() == http::field::authorization) {
      found.push_back(BearerOf(StdView(field->value())));
    } else if (boost::beast::iequals(field->name_string(), "X-Api-Key")) {
      found.emplace_back(StdView(field->value()));
    }
  }
  for (const QueryParameter& parameter : url.query) {
    if (parameter.name == "api_key") {
      found.push_back(parameter.value);
    }
  }
  for (const std::string& key : found) {
    if (key != found.front()) {
      return NotRun(Errc::kMalformedRequest,
                    "the request contains two different API keys");
    }
  }
  return found.empty() ? std::string() : found.front();
}

std::string FindBearerKey(const RequestHeader& header) {
  return BearerOf(StdView(header[http::field::authorization]));
}

bool ContainsKey(std::string_view text, std::string_view key) {
  if (key.empty()) {
    return false;
  }
  if (text.find(key) != std::string_view::npos) {
    return true;
  }
  if (text.find('%') == std::string_view::npos) {
    return false;
  }
  const std::optional<std::string> decoded = PercentDecode(text);
  return !decoded || decoded->find(key) != std::string::npos;
}

void RemoveKeyFields(RequestHeader* header, std::string_view key) {
  for (auto field = header->begin(); field != header->end();) {
    const auto next = std::next(field);
    if (IsCredentialField(StdView(field->name_string())) ||
        ContainsKey(StdView(field->value()), key) ||
        ContainsKey(StdView(field->name_string()), key)) {
      header->erase(field);
    }
    field = next;
  }
}

std::string QueryWithoutKey(const Url& url, std::string_view key) {
  std::string query;
  for (const QueryParameter& parameter : url.query) {
    if (IsCredentialParameter(parameter.name) ||
        ContainsKey(parameter.name, key) || ContainsKey(parameter.value, key)) {
      continue;
    }
    query += query.empty() ? "?" : "&";
    query += parameter.raw;
  }
  return query;
}

}  // namespace redwing
