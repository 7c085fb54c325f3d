// Messages and stored objects as builds that have been in production write
// them: this build understands them, and those understand this one's, because
// fields are only appended. Run with "[.write]", it prints those of this build.

#include <fmt/format.h>
#include <sodium.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "budget/internal/lease_messages.h"
#include "budget/internal/token_messages.h"
#include "config/internal/sync_messages.h"
#include "config/key_shard.h"
#include "config/listing_codec.h"
#include "delivery/internal/hop_token.h"
#include "framework/wire/digest.h"
#include "framework/wire/envelope_codec.h"
#include "framework/wire/payload.h"
#include "membership/heartbeat.h"
#include "membership/identity.h"
#include "membership/instance_record.h"

namespace redwing {
namespace {

using nlohmann::json;

constexpr std::string_view kSecret = "secret-secret-secret";

// Each field of the examples has a value of its own, so that none of them can
// take the place of another one unnoticed.
template <typename Message>
Message Example();

template <>
Heartbeat Example() {
  Heartbeat message;
  message.identity = {{"region", "domain", "127.0.0.1:1", "127.0.0.1:2",
                       "127.0.0.1:3", "process"}};
  message.leaving = true;
  message.ready = false;
  message.heartbeat_number = 101;
  message.echoed_heartbeat_number = 102;
  message.incarnation_seen = 103;
  message.state_digest = 104;
  message.state_sum = 105;
  message.withdrawn_hash = 106;
  message.load_permille = 107;
  message.key_epoch = 108;
  message.work = {{109, 110, 111, 112, false, 113},
                  {114, 115, 116, 117, true, 118}};
  message.placed = {{119, 120}};
  message.relayed = {{121, 122, true, false}, {123, 124, false, true}};
  message.departed = {TargetStart("target", 125)};
  message.rate_limits = {{TargetStart("other", 126), 127.5, 128, 129}};
  message.reaches_targets = false;
  return message;
}

template <>
StatePull Example() {
  return {{{"keys.a", StoreVersion(1, 253)}, {"drains", StoreVersion(1, 7)}}};
}

template <>
StateReply Example() {
  return {true,
          {{"keys.a", StoreVersion(1, 253), R"({"records":[]})"},
           {"drains", StoreVersion(1, 7), "[]"}},
          {{"key", "operator", 1'700'000'000'001}}};
}

template <>
WithdrawalMessage Example() {
  return {{{"key", "operator", 1'700'000'000'001},
           {"another", "somebody", 1'700'000'000'002}}};
}

template <>
LeaseRequest Example() {
  return {201, 202, "budget", 0.25};
}

template <>
LeaseGrant Example() {
  return {203, 204, 0.5, 12.5, 205};
}

template <>
LeaseReturn Example() {
  return {206, "budget", 13.5};
}

template <>
TokenRequest Example() {
  return {207, "budget", 14.5, 15.5, 16.5, {208, 209}};
}

template <>
TokenGrant Example() {
  return {210, 211, 17.5, 212, 213};
}

template <>
HopToken Example() {
  return {
      "process", "region",  "workspace", "key",    "request", "GET /v1/hop/x",
      "route",   "service", "/x?y=%7A",  "target", 301,       302,
      303,       true,      true,        true};
}

template <>
Envelope Example() {
  return {"sender", 401, 402, MessageKind::kTokenGrant, "payload"};
}

Identity ExampleIdentity() {
  return {"instance",    "region",      "domain", "127.0.0.1:1",
          "127.0.0.1:2", "127.0.0.1:3", "process"};
}

std::vector<KeyRecord> ExampleKeys() {
  return {{"key", "salt", "hash", "workspace", "", {}},
          {"root", "salt", "hash", "", "operator", {"*"}}};
}

InstanceList ExampleList() {
  InstanceList list;
  list.version = StoreVersion(1, 501);
  list.instances = {{"instance", "redwing-entry", "region", "domain",
                     "127.0.0.1:1", "127.0.0.1:3", true, 0, 0, Milliseconds(0)},
                    {"target", "service", "other", "another", "127.0.0.2:1", "",
                     false, 502, 503, Milliseconds(504)}};
  return list;
}

std::string ToText(const std::string& bytes) {
  std::string text(bytes.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(),
                 reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  text.pop_back();
  return text;
}

std::string FromText(const std::string& text) {
  std::string bytes(text.size() / 2, '\0');
  REQUIRE(sodium_hex2bin(reinterpret_cast<uint8_t*>(bytes.data()), bytes.size(),
                         text.data(), text.size(), nullptr, nullptr,
                         nullptr) == 0);
  return bytes;
}

json Written() {
  const std::vector<std::string> secrets = {std::string(kSecret)};
  return {
      {"heartbeat", ToText(EncodePayload(Example<Heartbeat>()))},
      {"state_pull", ToText(EncodePayload(Example<StatePull>()))},
      {"state_reply", ToText(EncodePayload(Example<StateReply>()))},
      {"withdrawal", ToText(EncodePayload(Example<WithdrawalMessage>()))},
      {"lease_request", ToText(EncodePayload(Example<LeaseRequest>()))},
      {"lease_grant", ToText(EncodePayload(Example<LeaseGrant>()))},
      {"lease_return", ToText(EncodePayload(Example<LeaseReturn>()))},
      {"token_request", ToText(EncodePayload(Example<TokenRequest>()))},
      {"token_grant", ToText(EncodePayload(Example<TokenGrant>()))},
      {"envelope", ToText(EnvelopeCodec(secrets).Encode(Example<Envelope>()))},
      {"hop_token", HopSigner(secrets).Sign(Example<HopToken>())},
      {"instance_record", EncodeInstanceRecord(ExampleIdentity()).spec},
      {"key_shard", KeyRecordsToJson(ExampleKeys())},
      {"withdrawals",
       WithdrawalsToJson(Example<WithdrawalMessage>().withdrawals)},
      {"listing", json::parse(EncodeListing(ExampleList()).body)}};
}

// Reads what a former build wrote.
json WrittenBy(const std::string& build) {
  std::ifstream file(std::string(REDWING_FORMAT_DATA) + "/" + build + ".json");
  REQUIRE(file);
  return json::parse(file);
}

// The builds that have been in production, the present one last.
std::string AnyBuild() {
  return GENERATE(as<std::string>(), "75ad51b", "39255de", "943011e");
}

bool BeginsWith(const std::string& bytes, const std::string& beginning) {
  return bytes.compare(0, beginning.size(), beginning) == 0;
}

template <typename Message>
void CheckMessage(const json& data, const std::string& name) {
  CAPTURE(name);
  const std::string bytes = FromText(data.at(name));
  const Result<Message> message = DecodePayload<Message>(bytes);
  REQUIRE(message);
  CHECK(BeginsWith(EncodePayload(message.value()), bytes));
  CHECK(BeginsWith(EncodePayload(Example<Message>()), bytes));
}

// Guards against builds that misread each other during an upgrade.
TEST_CASE("messages of the builds in production keep their fields") {
  const json data = WrittenBy(AnyBuild());
  CheckMessage<Heartbeat>(data, "heartbeat");
  CheckMessage<StatePull>(data, "state_pull");
  CheckMessage<StateReply>(data, "state_reply");
  CheckMessage<WithdrawalMessage>(data, "withdrawal");
  CheckMessage<LeaseRequest>(data, "lease_request");
  CheckMessage<LeaseGrant>(data, "lease_grant");
  CheckMessage<LeaseReturn>(data, "lease_return");
  CheckMessage<TokenRequest>(data, "token_request");
  CheckMessage<TokenGrant>(data, "token_grant");
}

TEST_CASE("envelopes of the builds in production are equal") {
  const json data = WrittenBy(AnyBuild());
  CHECK(Written().at("envelope") == data.at("envelope"));
  const std::vector<std::string> secrets = {std::string(kSecret)};
  CHECK(EnvelopeCodec(secrets).Decode(FromText(data.at("envelope"))));
}

TEST_CASE("hop tokens of the builds in production keep their fields") {
  const auto fields_of = [](const json& written) {
    return written.at("hop_token").get<std::string>().substr(2 * kDigestBytes);
  };
  const json data = WrittenBy(AnyBuild());
  const HopSigner signer({std::string(kSecret)});
  const std::string token = data.at("hop_token");
  const Result<HopToken> read = signer.Verify(token);
  REQUIRE(read);
  CHECK(BeginsWith(fields_of(Written()), fields_of(data)));
  CHECK(BeginsWith(fields_of({{"hop_token", signer.Sign(read.value())}}),
                   fields_of(data)));
}

// Guards against an older build that misses a field of a stored object.
TEST_CASE("stored objects of the builds in production keep their fields") {
  const json data = WrittenBy(AnyBuild());
  const json written = Written();
  for (const std::string name :
       {"instance_record", "key_shard", "withdrawals", "listing"}) {
    CAPTURE(name);
    for (const json& change : json::diff(data.at(name), written.at(name))) {
      CAPTURE(change.dump());
      CHECK(change.at("op") == "add");
    }
  }
  StoredObject record;
  record.spec = data.at("instance_record");
  CHECK(DecodeInstanceRecord(record));
  CHECK(KeyRecordsToJson(KeyRecordsFromJson(data.at("key_shard"))) ==
        written.at("key_shard"));
  CHECK(WithdrawalsToJson(WithdrawalsFromJson(data.at("withdrawals"))) ==
        written.at("withdrawals"));
  const StateEntry listing = {std::string(kListingName), StoreVersion(1, 501),
                              data.at("listing").dump()};
  CHECK(EncodeListing(DecodeListing(listing)).body ==
        EncodeListing(ExampleList()).body);
}

TEST_CASE("prints the messages and objects of this build", "[.write]") {
  std::cout << Written().dump(2) << "\n";
}

}  // namespace
}  // namespace redwing
