#include "store/internal/kubernetes_store.h"

#include <fmt/format.h>

#include <array>
#include <charconv>

#include "framework/http/http_connection.h"
#include "framework/http/url.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/endpoint.h"
#include "framework/wire/json_text.h"

namespace redwing {

namespace {

using nlohmann::json;

constexpr std::string_view kApiVersion = "redwingcart.io/v1";
constexpr std::string_view kNamespacePath =
    "/apis/redwingcart.io/v1/namespaces/default/";
constexpr std::string_view kSlicesPath =
    "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices";
constexpr size_t kMaxWatchLine = 4 * 1024 * 1024;  // bytes
constexpr Milliseconds kWatchLength{30'000};
constexpr Milliseconds kWatchGrace{5'000};

std::string KindPath(const std::string& kind) {
  return fmt::format("{}{}", kNamespacePath, PercentEncode(kind));
}

std::string ObjectPath(const std::string& kind, const std::string& name) {
  return fmt::format("{}/{}", KindPath(kind), PercentEncode(name));
}

json ToJson(const StoredObject& object) {
  json metadata = {{"name", object.name}};
  if (!object.version.empty()) {
    metadata["resourceVersion"] = object.version;
  }
  return {{"apiVersion", kApiVersion},
          {"kind", object.kind},
          {"metadata", std::move(metadata)},
          {"spec", object.spec}};
}

// Throws json::exception if the object does not follow the API.
StoredObject FromJson(const std::string& kind, const json& value) {
  const json& metadata = value.at("metadata");
  return {kind, metadata.at("name").get<std::string>(),
          metadata.at("resourceVersion").get<std::string>(), value.at("spec")};
}

uint64_t VersionNumber(const std::string& text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::string FindPort(const json& slice, std::string_view name) {
  for (const json& port : slice.at("ports")) {
    if (port.at("name") == name) {
      return std::to_string(port.at("port").get<int>());
    }
  }
  return "0";
}

ListedInstance ListedFromSlice(const json& slice, const json& endpoint) {
  const json& labels = slice.at("metadata").at("labels");
  const std::string address = endpoint.at("addresses").at(0);
  const json& conditions = endpoint.at("conditions");
  ListedInstance instance;
  instance.name = endpoint.at("hostname");
  instance.service = labels.at("kubernetes.io/service-name");
  instance.region = labels.value("topology.kubernetes.io/region", "");
  instance.failure_domain = endpoint.value("zone", "");
  instance.http_address = address + ":" + FindPort(slice, "http");
  instance.peer_address = address + ":" + FindPort(slice, "peer");
  instance.leaving = conditions.value("terminating", false) ||
                     !conditions.value("serving", true);
  return instance;
}

// Returns the failure for a response that does not follow the API.
Failure InvalidResponse(const json::exception& exception) {
  return MayHaveRun(Errc::kStoreUnavailable,
                    fmt::format("unexpected response: {}", exception.what()));
}

// Splits the data of a watch into lines and passes their objects to a callback.
class WatchStream {
 public:
  WatchStream(const std::string& kind,
              const std::function<void(const StoredObject&)>& on_object)
      : kind_(kind), on_object_(on_object) {}

  // Returns false if an event is an error or is not JSON, or if a line exceeds
  // kMaxWatchLine.
  bool Feed(std::string_view data) {
    pending_.append(data);
    size_t end = pending_.find('\n');
    while (end != std::string::npos) {
      if (!HandleLine(pending_.substr(0, end))) {
        return false;
      }
      pending_.erase(0, end + 1);
      end = pending_.find('\n');
    }
    return pending_.size() <= kMaxWatchLine;
  }

 private:
  bool HandleLine(const std::string& line) {
    const json event = json::parse(line, nullptr, /*allow_exceptions=*/false);
    if (!event.is_object() || event.value("type", "") == "ERROR") {
      return false;
    }
    const std::string type = event.value("type", "");
    if (type == "ADDED" || type == "MODIFIED") {
      on_object_(FromJson(kind_, event.at("object")));
    }
    return true;
  }

  const std::string& kind_;
  const std::function<void(const StoredObject&)>& on_object_;
  std::string pending_;
};

}  // namespace

KubernetesStore::KubernetesStore(boost::asio::io_context& io,
                                 SocketRegistry& sockets,
                                 Metrics& metrics,
                                 boost::asio::ip::tcp::endpoint endpoint,
                                 Milliseconds timeout)
    : io_(io),
      sockets_(sockets),
      metrics_(metrics),
      client_(io, sockets),
      endpoint_(std::move(endpoint)),
      timeout_(timeout) {}

Result<StoredObject> KubernetesStore::Get(const std::string& kind,
                                          const std::string& name,
                                          const Yield& yield) {
  const Result<json> response =
      Call(http::verb::get, ObjectPath(kind, name), {}, yield);
  if (!response) {
    return response.error();
  }
  try {
    return FromJson(kind, response.value());
  } catch (const json::exception& exception) {
    return InvalidResponse(exception);
  }
}

Result<ObjectList> KubernetesStore::List(const std::string& kind,
                                         const Yield& yield) {
  const Result<json> response =
      Call(http::verb::get, KindPath(kind), {}, yield);
  if (!response) {
    return response.error();
  }
  try {
    ObjectList list;
    list.version = response.value().at("metadata").at("resourceVersion");
    for (const json& item : response.value().at("items")) {
      list.objects.push_back(FromJson(kind, item));
    }
    return list;
  } catch (const json::exception& exception) {
    return InvalidResponse(exception);
  }
}

Result<StoredObject> KubernetesStore::Create(const StoredObject& object,
                                             const Yield& yield) {
  const Result<json> response =
      Call(http::verb::post, KindPath(object.kind), ToJson(object), yield);
  if (!response) {
    return response.error();
  }
  try {
    return FromJson(object.kind, response.value());
  } catch (const json::exception& exception) {
    return InvalidResponse(exception);
  }
}

Result<StoredObject> KubernetesStore::Update(const StoredObject& object,
                                             const Yield& yield) {
  const Result<json> response =
      Call(http::verb::put, ObjectPath(object.kind, object.name),
           ToJson(object), yield);
  if (!response) {
    return response.error();
  }
  try {
    return FromJson(object.kind, response.value());
  } catch (const json::exception& exception) {
    return InvalidResponse(exception);
  }
}

Result<void> KubernetesStore::Delete(const StoredObject& object,
                                     const Yield& yield) {
  const Result<json> response =
      Call(http::verb::delete_, ObjectPath(object.kind, object.name),
           {{"preconditions", {{"resourceVersion", object.version}}}}, yield);
  if (!response) {
    return response.error();
  }
  return boost::outcome_v2::success();
}

Failure KubernetesStore::Watch(
    const std::string& kind,
    const std::string& version,
    const std::function<void(const StoredObject&)>& on_object,
    const Yield& yield) {
  HttpConnection connection(io_, sockets_);
  const Result<void> connected =
      connection.Connect(endpoint_, Clock::now() + timeout_, yield);
  if (!connected) {
    return connected.error();
  }
  metrics_
      .Get("redwing_store_calls_total", "Calls of the store, in calls",
           {{"call", "watch"}})
      .Add();
  connection.ExpiresAt(Clock::now() + kWatchLength + kWatchGrace);
  RequestHeader header;
  header.version(11);
  header.method(http::verb::get);
  header.target(fmt::format("{}?watch=1&resourceVersion={}&timeoutSeconds={}",
                            KindPath(kind), version,
                            kWatchLength.count() / 1000));
  header.set(http::field::host, FormatEndpoint(endpoint_));
  const Result<void> sent =
      connection.BeginRequest(std::move(header), nullptr, 0, true, yield);
  const Result<void> received = sent ? connection.ReadHeader(yield) : sent;
  if (!received) {
    return received.error();
  }
  if (connection.response().result_int() != 200) {
    return NotRun(Errc::kStoreUnavailable, "the store rejected the watch");
  }
  WatchStream stream(kind, on_object);
  std::array<char, 16 * 1024> buffer{};
  try {
    while (true) {
      const Result<size_t> size =
          connection.ReadBody(buffer.data(), buffer.size(), yield);
      if (!size) {
        return size.error();
      }
      if (size.value() == 0) {
        return NotRun(Errc::kOk, "the watch ended");
      }
      if (!stream.Feed({buffer.data(), size.value()})) {
        return NotRun(Errc::kStoreUnavailable,
                      "the watch received an error or a malformed event");
      }
    }
  } catch (const json::exception& exception) {
    return InvalidResponse(exception);
  }
}

Result<InstanceList> KubernetesStore::ListInstances(const Yield& yield) {
  const Result<json> response =
      Call(http::verb::get, std::string(kSlicesPath), {}, yield);
  if (!response) {
    return response.error();
  }
  try {
    InstanceList list;
    list.version = StoreVersion(
        StoreVersion::kFirstEra,
        VersionNumber(response.value().at("metadata").at("resourceVersion")));
    for (const json& slice : response.value().at("items")) {
      for (const json& endpoint : slice.at("endpoints")) {
        list.instances.push_back(ListedFromSlice(slice, endpoint));
      }
    }
    return list;
  } catch (const json::exception& exception) {
    return InvalidResponse(exception);
  }
}

Result<json> KubernetesStore::Call(http::verb method,
                                   const std::string& target,
                                   const json& body,
                                   const Yield& yield) {
  HttpCall call;
  call.endpoint = endpoint_;
  call.method = method;
  call.target = target;
  call.body = body.is_null() ? "" : JsonText(body);
  call.timeout = timeout_;
  const std::string method_name(StdView(http::to_string(method)));
  metrics_
      .Get("redwing_store_calls_total", "Calls of the store, in calls",
           {{"call", method_name}})
      .Add();
  const Result<HttpReply> reply = client_.Call(call, yield);
  if (!reply) {
    return Failure{Errc::kStoreUnavailable,
                   reply.error().verdict,
                   reply.error().detail,
                   {}};
  }
  const unsigned status = reply.value().status;
  if (status == 404) {
    return NotRun(Errc::kNotFound, target);
  }
  if (status == 409) {
    return NotRun(Errc::kConflict, target);
  }
  if (status < 200 || status > 299) {
    return MayHaveRun(Errc::kStoreUnavailable,
                      fmt::format("store responded with status {}", status));
  }
  json value = json::parse(reply.value().body, nullptr,
                           /*allow_exceptions=*/false);
  if (value.is_discarded()) {
    return MayHaveRun(Errc::kStoreUnavailable, "response is not JSON");
  }
  return value;
}

}  // namespace redwing
