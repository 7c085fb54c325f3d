#include "delivery/internal/hop_token.h"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>

#include "framework/wire/digest.h"
#include "framework/wire/payload.h"

namespace redwing {

namespace {

constexpr size_t kDigestText = kDigestBytes * 2;
// Domain separation of these digests from those of peer messages.
constexpr std::string_view kDomain = "hop:";
// Key of the digests of request lines, and their mark: no method contains it.
constexpr std::string_view kLineKey = "hop-request-line";
constexpr char kDigestMark = '#';

std::string ToHexText(const std::string& bytes) {
  std::string text(bytes.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(),
                 reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  text.pop_back();
  return text;
}

std::string FromHex(std::string_view text) {
  std::string bytes(text.size() / 2, '\0');
  size_t size = 0;
  const int failed =
      sodium_hex2bin(reinterpret_cast<uint8_t*>(bytes.data()), bytes.size(),
                     text.data(), text.size(), nullptr, &size, nullptr);
  bytes.resize(failed == 0 ? size : 0);
  return bytes;
}

std::string DigestText(const std::string& secret, const std::string& body) {
  return ToHex(KeyedDigest(secret, std::string(kDomain) + body));
}

}  // namespace

std::string RequestLineOf(std::string_view method, std::string_view target) {
  std::string line = fmt::format("{} {}", method, target);
  return line.size() <= kMaxTokenLine
             ? line
             : kDigestMark + ToHex(KeyedDigest(kLineKey, line));
}

std::string TargetOf(const HopToken& token,
                     std::string_view prefix,
                     std::string_view forwarded_target) {
  const size_t begin = prefix.size() + token.service.size();
  if (!token.target.empty() || begin > forwarded_target.size()) {
    return token.target;
  }
  return std::string(forwarded_target.substr(begin));
}

Result<void> CheckAddressee(const HopToken& token,
                            const std::string& process_id,
                            std::string_view method,
                            std::string_view target) {
  if (token.to_process != process_id && token.owner_hop) {
    return MayHaveRun(Errc::kIdempotencyOutcomeUnknown,
                      "the process that the key is bound to has been replaced");
  }
  if (token.to_process != process_id) {
    return NotRun(
        Errc::kPeerUnreachable,
        "the process that the hop was addressed to has been replaced");
  }
  if (token.request_line != RequestLineOf(method, target)) {
    return NotRun(Errc::kPeerUnreachable,
                  "hop token does not match the request line");
  }
  return boost::outcome_v2::success();
}

std::string HopSigner::Sign(const HopToken& token) const {
  const std::string body = EncodePayload(token);
  return DigestText(secrets_.front(), body) + ToHexText(body);
}

Result<HopToken> HopSigner::Verify(std::string_view text) const {
  if (text.size() < kDigestText) {
    return NotRun(Errc::kBadMessage, "hop token is truncated");
  }
  const std::string body = FromHex(text.substr(kDigestText));
  const std::string_view digest = text.substr(0, kDigestText);
  const bool genuine = std::any_of(
      secrets_.begin(), secrets_.end(), [&](const std::string& secret) {
        const std::string own = DigestText(secret, body);
        return sodium_memcmp(own.data(), digest.data(), own.size()) == 0;
      });
  if (!genuine) {
    return NotRun(Errc::kBadMessage, "hop token has an invalid signature");
  }
  return DecodePayload<HopToken>(body);
}

}  // namespace redwing
