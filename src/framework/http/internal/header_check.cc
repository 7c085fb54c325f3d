#include "framework/http/header_check.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace redwing {

namespace {

constexpr unsigned kMinStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kMaxStatus = 599;

bool HasBareLineBreak(std::string_view raw) {
  for (size_t i = 0; i < raw.size(); ++i) {
    const bool bare_lf = raw[i] == '\n' && (i == 0 || raw[i - 1] != '\r');
    const bool bare_cr =
        raw[i] == '\r' && (i + 1 == raw.size() || raw[i + 1] != '\n');
    if (bare_lf || bare_cr) {
      return true;
    }
  }
  return false;
}

bool HasFolding(std::string_view raw) {
  return raw.find("\r\n ") != std::string_view::npos ||
         raw.find("\r\n\t") != std::string_view::npos;
}

bool HasSpaceBeforeColon(std::string_view raw) {
  size_t start = raw.find("\r\n");
  while (start != std::string_view::npos && start + 2 < raw.size()) {
    start += 2;
    const size_t end = raw.find("\r\n", start);
    const std::string_view line = raw.substr(start, end - start);
    const size_t colon = line.find(':');
    if (colon != std::string_view::npos && colon > 0 &&
        (line[colon - 1] == ' ' || line[colon - 1] == '\t')) {
      return true;
    }
    start = end;
  }
  return false;
}

bool IsDecimal(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

// Checks what RequestHeader and ResponseHeader have in common.
std::optional<std::string> FindBodyFramingProblem(const http::fields& header,
                                                  unsigned version) {
  const size_t lengths = header.count(http::field::content_length);
  const size_t codings = header.count(http::field::transfer_encoding);
  if (lengths > 1) {
    return "several Content-Length fields";
  }
  if (lengths == 1 && codings > 0) {
    return "both Content-Length and Transfer-Encoding";
  }
  if (lengths == 1 &&
      !IsDecimal(StdView(header.at(http::field::content_length)))) {
    return "Content-Length is not a decimal number";
  }
  if (codings > 1) {
    return "several Transfer-Encoding fields";
  }
  if (codings == 1 &&
      !boost::beast::iequals(header.at(http::field::transfer_encoding),
                             "chunked")) {
    return "a transfer coding other than chunked";
  }
  if (codings == 1 && version < 11) {
    return "Transfer-Encoding in an HTTP/1.0 message";
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> FindRawHeaderProblem(std::string_view raw) {
  if (raw.find('\0') != std::string_view::npos) {
    return "NUL byte in the request head";
  }
  if (HasBareLineBreak(raw)) {
    return "bare CR or LF in the request head";
  }
  if (HasFolding(raw)) {
    return "folded header field";
  }
  if (HasSpaceBeforeColon(raw)) {
    return "white space before the colon of a header field";
  }
  return std::nullopt;
}

std::optional<std::string> FindFramingProblem(const RequestHeader& header) {
  std::optional<std::string> problem =
      FindBodyFramingProblem(header, header.version());
  if (problem) {
    return problem;
  }
  const size_t hosts = header.count(http::field::host);
  if (hosts > 1 || (hosts == 0 && header.version() >= 11)) {
    return "exactly one Host field is required";
  }
  return std::nullopt;
}

std::optional<std::string> FindResponseProblem(const ResponseHeader& header) {
  const unsigned status = header.result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    return "a status outside 100 to 599";
  }
  if (status == kSwitchingProtocols) {
    return "a switch of protocols that was not requested";
  }
  const bool bodiless = status < kMinFinalStatus || status == kNoContent;
  const boost::beast::string_view length = header[http::field::content_length];
  const bool names_body = header.count(http::field::transfer_encoding) > 0 ||
                          (!length.empty() && length != "0");
  if (bodiless && names_body) {
    return "a body with a status that allows none";
  }
  return FindBodyFramingProblem(header, header.version());
}

}  // namespace redwing
