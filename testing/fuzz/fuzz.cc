// redwing-fuzz: seeded mutation of everything that comes from outside: request
// heads, settings, documents, peer messages, and what sockets receive. Meant to
// run with sanitizers.

#include <fmt/format.h>

#include <array>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "apps/program_options.h"
#include "budget/internal/lease_messages.h"
#include "budget/internal/share_holders.h"
#include "budget/internal/token_messages.h"
#include "config/internal/sync_messages.h"
#include "config/key_shard.h"
#include "config/listing_codec.h"
#include "delivery/internal/caller_key.h"
#include "delivery/internal/header_rules.h"
#include "delivery/internal/hop_token.h"
#include "entry/entry_settings.h"
#include "framework/http/header_check.h"
#include "framework/http/refusal.h"
#include "framework/wire/compression.h"
#include "framework/wire/envelope_codec.h"
#include "framework/wire/payload.h"
#include "membership/heartbeat.h"
#include "membership/instance_record.h"
#include "platform/manifest_decoder.h"
#include "platform/node_settings.h"
#include "platform/store_json.h"
#include "platform/target_decoder.h"
#include "routing/key_prefix.h"
#include "routing/target_load.h"
#include "steering/section_parser.h"
#include "steering/steering_document.h"
#include "steering/usable_section.h"
#include "testing/fuzz/socket_fuzz.h"

namespace redwing::testing {

namespace {

constexpr size_t kMaxDecompressed = 1 << 20;  // bytes
// A case at a socket takes as long as some others.
constexpr int kCasesPerSocketCase = 10;
constexpr const char* kSecret = "fuzz-secret-fuzz-secret";

using Random = std::mt19937_64;

// Changes, removes, doubles or inserts some bytes.
std::string Mutate(std::string text, Random& random) {
  static constexpr std::array<std::string_view, 12> kTokens = {
      "\r\n",     "\r\n ",
      ":",        "Content-Length: 5\r\n",
      "chunked",  "{",
      "}",        "\"",
      "[",        "Transfer-Encoding: chunked\r\n",
      "\xff\xff", "999999999999999999999"};
  const int changes = 1 + static_cast<int>(random() % 6);
  for (int i = 0; i < changes; ++i) {
    const size_t at = text.empty() ? 0 : random() % text.size();
    switch (random() % 5) {
      case 0:
        if (!text.empty()) {
          text[at] = static_cast<char>(random());
        }
        break;
      case 1:
        text.erase(at, random() % 8);
        break;
      case 2:
        text.insert(at, text.substr(at, random() % 16));
        break;
      case 3:
        text.insert(at, kTokens[random() % kTokens.size()]);
        break;
      default:
        text.resize(at);
        break;
    }
  }
  return text;
}

void FuzzRequest(const std::string& text) {
  FindRawHeaderProblem(text);
  http::request_parser<http::string_body> parser;
  parser.header_limit(16 * 1024);
  parser.eager(true);
  boost::system::error_code ec;
  parser.put(boost::asio::buffer(text), ec);
  if (!parser.is_header_done()) {
    return;
  }
  RequestHeader header = parser.get();
  FindFramingProblem(header);
  const std::optional<Url> url = ParseTarget(StdView(header.target()));
  if (!url) {
    return;
  }
  const Result<std::string> key = FindCallerKey(header, *url);
  RemoveHopByHopFields(&header);
  RemoveKeyFields(&header, key ? key.value() : "");
  RemoveInternalFields(&header);
  QueryWithoutKey(*url, key ? key.value() : "");
}

void FuzzSettings(const std::string& text) {
  (void)EntrySettings::Parse(text, "fuzz");
}

void FuzzDocument(const std::string& text) {
  const Result<JsonSource> source = JsonSource::Parse(text, "fuzz");
  if (source) {
    const Result<std::vector<Section>> sections = ParseSections(source.value());
    if (sections) {
      FindDocumentProblems(sections.value());
    }
    KeyRecordsFromJson(source.value().root());
    WithdrawalsFromJson(source.value().root());
  }
  ShareHolders::Parse(text);
  DecodeListing({"listing", StoreVersion(1, 1), text});
  ParseRefusal(503, text);
}

// The digest is made right again, so that the decoders behind it are reached.
void FuzzMessage(const std::string& bytes) {
  const EnvelopeCodec codec({kSecret});
  (void)codec.Decode(bytes);
  (void)HopSigner({kSecret}).Verify(bytes);
  (void)DecodePayload<Heartbeat>(bytes);
  (void)DecodePayload<LeaseRequest>(bytes);
  (void)DecodePayload<LeaseGrant>(bytes);
  (void)DecodePayload<LeaseReturn>(bytes);
  (void)DecodePayload<TokenRequest>(bytes);
  (void)DecodePayload<TokenGrant>(bytes);
  (void)Decompress(bytes, kMaxDecompressed);
  (void)DecodePayload<StatePull>(bytes);
  (void)DecodePayload<StateReply>(bytes);
  (void)DecodePayload<WithdrawalMessage>(bytes);
  (void)DecodePayload<HopToken>(bytes);
  ParseBoundKey(bytes);
}

// What the users' platform hands over: settings, manifest, entries of targets.
void FuzzPlatform(const std::string& text) {
  static const std::map<std::string, std::string> zones = {{"z", "r"}};
  (void)platform::NodeSettings::Parse(text);
  TargetLoad::Parse(text);
  const nlohmann::json value =
      nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  (void)platform::ParseStoreList(text, "items");
  (void)platform::DecodeTarget("i-1", value, zones);
  (void)DecodeInstanceRecord({"", "i-1", "1", value});
  const platform::DecodedManifest manifest =
      platform::ManifestDecoder(zones).Decode(value, StoreVersion(1, 1));
  for (const StateEntry& entry : manifest.entries) {
    (void)ParseUsableSection("platform", entry.body);
  }
}

struct Corpus {
  void (*function)(const std::string&);
  std::vector<std::string> texts;
};

std::vector<Corpus> MakeCorpora() {
  Heartbeat heartbeat;
  heartbeat.identity.push_back(
      {"r1", "d1", "127.0.0.1:1", "", "127.0.0.1:2", "p"});
  heartbeat.work = {{1, 2}, {3, 4}};
  heartbeat.placed = {{1, 2}};
  heartbeat.relayed = {{1, 20, true, false}};
  StateReply reply;
  reply.entries = {{"section.a", StoreVersion(1, 3), "{}"},
                   {"keys.0", StoreVersion(2, 1), "{}"}};
  reply.withdrawn = {{"0123", "op", 5}};
  return {
      {&FuzzRequest,
       {"GET /v1/services/svc/x?api_key=rwk_1&a=%20b HTTP/1.1\r\nHost: h\r\n"
        "Authorization: Bearer rwk_1\r\nConnection: close, X-A\r\n\r\n",
        "POST /v1/services/svc/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
        "chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"}},
      {&FuzzSettings,
       {"{// c\n\"instance\": \"a\", \"region\": \"r\", \"failure_domain\": "
        "\"d\", \"http_listen\": \"127.0.0.1:1\", \"peer_listen\": "
        "\"127.0.0.1:2\", \"platform_address\": \"127.0.0.1:3\", "
        "\"fleet_secrets\": [\"0123456789abcdef\"]}"}},
      {&FuzzDocument,
       {"{\"sections\": {\"n\": {\"team\": \"t\", \"regions\": [{\"name\": "
        "\"r\", \"failure_domains\": [\"d\"], \"rate_per_s\": 1, \"burst\": "
        "1}], \"services\": [{\"name\": \"s\", \"routes\": [{\"name\": \"a\", "
        "\"methods\": [\"GET\"], \"path_prefix\": \"/\"}], \"targets\": "
        "[]}]}}}",
        R"({"sections": {"a~b/c": {"team": 1}}})",
        "{\"records\": [{\"id\": \"1\", \"salt\": \"2\", \"hash\": \"3\"}]}",
        "[{\"name\": \"a\", \"http\": \"127.0.0.1:1\"}]",
        R"({"a": {"process": "p", "region": "r", "fleet": 1, "in_region": 2}})"}},
      {&FuzzMessage,
       {EncodePayload(heartbeat), EncodePayload(reply),
        EncodePayload(LeaseRequest{1, 2, "workspace/a", 0.5}),
        EncodePayload(TokenRequest{1, "workspace/a", 2, 1, 3, {4, 5}}),
        EncodePayload(TokenGrant{1, 2, 3, 500, 20}),
        Compress(EncodePayload(reply)).value(),
        EnvelopeCodec({kSecret}).Encode(
            {"a", 1, 2, MessageKind::kHeartbeat, "p"}),
        HopSigner({kSecret}).Sign(HopToken())}},
      {&FuzzPlatform,
       {R"(self.node=n
self.zone=z
self.region=r
self.ip=127.0.0.1
network.zones.z=r
network.portRange=1,9
terms.bounds.grace=6s
terms.bounds.contact=1500ms
)",
        R"({"service": "s", "address": "127.0.0.1:1", "zone": "z",
            "version": "v1", "slots": 3, "state": "ready",
            "warmup_time": "2.5s", "seq": 4, "born": 1700000000000})",
        R"({"version": "r1", "limits": {"maxHeaderBytes": 1024,
            "maxBodyBytes": 1024, "headerTimeout": "3s", "idleTimeout": "9s"},
            "services": {"columns": ["name", "warmup", "warmupPerS"],
             "rows": [["s", "3s", 18.0]]},
            "routes": {"columns": ["name", "host", "pathPrefix", "kind",
             "timeout", "targetLatency", "trafficSplit"],
             "rows": [["a", "h", "/x/", "safe", "1s", "100ms",
              [{"service": "s", "weight": 9}]]]},
            "tenants": {"columns": ["name", "apiKeys"],
             "rows": [["t", ["k"]]]}})",
        R"({"items": [{"metadata": {"name": "a, ]}", "revision": 4},
            "spec": "\"}"}, [], {"spec": [1, 2e3]}], "hasMore": true,
            "asOf": 9})",
        "3,0,8"}},
  };
}

std::vector<std::string> RequestStreams() {
  const std::string plain = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string sized =
      "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde";
  const std::string chunked =
      "POST /c HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3;x=\"y\"\r\nabc\r\n0\r\nT: "
      "u\r\n\r\n";
  return {plain + sized, sized + plain, chunked + plain};
}

std::vector<std::string> ResponseStreams() {
  const std::string sized =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
      "5\r\nX-Redwing-Attempt: 1\r\n\r\nabcde";
  const std::string chunked =
      "HTTP/1.1 503 Busy\r\nRetry-After: 1.5\r\nTransfer-Encoding: "
      "chunked\r\n\r\n5;e=1\r\nabcde\r\n0\r\nT: u\r\n\r\n";
  const std::string unframed =
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end";
  const std::string no_status =
      "HTTP/1.1 000 OK\r\nContent-Length: 38\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  const std::string coded =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, "
      "chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n";
  return {sized, chunked, unframed, no_status, coded};
}

// Returns whether some bytes were taken for a request and for a response, and
// none for a response that no caller may get.
bool FuzzSockets(int cases, uint64_t seed, Random& random) {
  const std::vector<std::string> requests = RequestStreams();
  const std::vector<std::string> responses = ResponseStreams();
  SocketFuzz sockets(seed);
  for (int i = 0; i < cases; ++i) {
    sockets.SendAsRequests(
        Mutate(requests[random() % requests.size()], random));
    sockets.SendAsResponse(
        Mutate(responses[random() % responses.size()], random));
  }
  fmt::print("{} requests and {} responses were read at sockets\n",
             sockets.requests(), sockets.responses());
  if (sockets.malformed_responses() > 0) {
    fmt::print("{} of the responses are malformed\n",
               sockets.malformed_responses());
    return false;
  }
  return cases == 0 || (sockets.requests() > 0 && sockets.responses() > 0);
}

int Run(int argc, char** argv) {
  CLI::App app("Feeds mutated input to the parsers.");
  AddCommonOptions(app);
  int cases = 100'000;
  uint64_t seed = 1;
  app.add_option("--cases", cases, "Cases for each kind of input");
  app.add_option("--seed", seed);
  int code = kExitOk;
  if (!ParseCommandLine(app, argc, argv, &code)) {
    return code;
  }
  Random random(seed);
  for (const Corpus& corpus : MakeCorpora()) {
    for (int i = 0; i < cases; ++i) {
      corpus.function(
          Mutate(corpus.texts[random() % corpus.texts.size()], random));
    }
  }
  if (!FuzzSockets(cases / kCasesPerSocketCase, seed, random)) {
    return kExitFailed;
  }
  fmt::print("{} cases of 5 kinds, {} of 2 at sockets, seed {}: no fault\n",
             cases, cases / kCasesPerSocketCase, seed);
  return kExitOk;
}

}  // namespace

}  // namespace redwing::testing

int main(int argc, char** argv) {
  return redwing::RunProgram("redwing-fuzz", &redwing::testing::Run, argc,
                             argv);
}
