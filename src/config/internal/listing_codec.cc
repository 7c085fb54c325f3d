#include "config/listing_codec.h"

#include <nlohmann/json.hpp>

#include "framework/wire/json_text.h"

namespace redwing {

namespace {
using nlohmann::json;
}  // namespace

StateEntry EncodeListing(const InstanceList& list) {
  json items = json::array();
  for (const ListedInstance& instance : list.instances) {
    items.push_back({{"name", instance.name},
                     {"service", instance.service},
                     {"region", instance.region},
                     {"failure_domain", instance.failure_domain},
                     {"http", instance.http_address},
                     {"peer", instance.peer_address},
                     {"leaving", instance.leaving},
                     {"slots", instance.slots},
                     {"started_at", instance.started_at},
                     {"warm_up_left_ms", instance.warm_up_left.count()}});
  }
  return {std::string(kListingName), list.version, JsonText(items)};
}

InstanceList DecodeListing(const StateEntry& entry) {
  InstanceList list;
  list.version = entry.version;
  const json items =
      json::parse(entry.body, nullptr, /*allow_exceptions=*/false);
  if (!items.is_array()) {
    return list;
  }
  for (const json& item : items) {
    try {
      list.instances.push_back(
          {item.at("name"), item.at("service"), item.at("region"),
           item.at("failure_domain"), item.at("http"), item.at("peer"),
           item.at("leaving"), item.value("slots", 0),
           item.value("started_at", uint64_t{0}),
           Milliseconds(item.value("warm_up_left_ms", int64_t{0}))});
    } catch (const json::exception&) {
      continue;
    }
  }
  return list;
}

}  // namespace redwing
