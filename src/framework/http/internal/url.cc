#include "framework/http/url.h"

#include <fmt/format.h>

#include <cctype>
#include <charconv>

namespace redwing {

namespace {

bool HasDotSegment(std::string_view path) {
  size_t start = 0;
  while (start < path.size()) {
    size_t end = path.find('/', start);
    if (end == std::string_view::npos) {
      end = path.size();
    }
    const std::string_view segment = path.substr(start, end - start);
    if (segment == "." || segment == "..") {
      return true;
    }
    start = end + 1;
  }
  return false;
}

bool ParseQuery(std::string_view text, std::vector<QueryParameter>* query) {
  while (!text.empty()) {
    const size_t end = text.find('&');
    const std::string_view raw = text.substr(0, end);
    const size_t equals = raw.find('=');
    const std::optional<std::string> name =
        PercentDecode(raw.substr(0, equals));
    const std::optional<std::string> value =
        equals == std::string_view::npos
            ? std::string()
            : PercentDecode(raw.substr(equals + 1));
    if (!name || !value) {
      return false;
    }
    query->push_back({*name, *value, std::string(raw)});
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
  }
  return true;
}

}  // namespace

std::optional<std::string> Url::Query(std::string_view name) const {
  for (const QueryParameter& parameter : query) {
    if (parameter.name == name) {
      return parameter.value;
    }
  }
  return std::nullopt;
}

std::optional<Url> ParseTarget(std::string_view target) {
  if (target.empty() || target.front() != '/' ||
      target.find('#') != std::string_view::npos) {
    return std::nullopt;
  }
  const size_t question = target.find('?');
  const std::optional<std::string> path =
      PercentDecode(target.substr(0, question));
  if (!path || HasDotSegment(*path)) {
    return std::nullopt;
  }
  Url url;
  url.path = *path;
  if (question != std::string_view::npos &&
      !ParseQuery(target.substr(question + 1), &url.query)) {
    return std::nullopt;
  }
  return url;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    unsigned value = 0;
    const char* const digits = text.data() + i + 1;
    if (i + 2 >= text.size() ||
        std::from_chars(digits, digits + 2, value, 16).ptr != digits + 2 ||
        value == 0) {
      return std::nullopt;
    }
    decoded += static_cast<char>(value);
    i += 2;
  }
  return decoded;
}

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    const bool unreserved = std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                            c == '-' || c == '.' || c == '_' || c == '~';
    encoded += unreserved
                   ? std::string(1, c)
                   : fmt::format("%{:02X}", static_cast<unsigned char>(c));
  }
  return encoded;
}

}  // namespace redwing
