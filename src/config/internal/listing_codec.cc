#include "config/listing_codec.h"

#include <nlohmann/json.hpp>

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
                     {"leaving", instance.leaving}});
  }
  return {std::string(kListingName), list.version, items.dump()};
}

InstanceList DecodeListing(const StateEntry& entry) {
  InstanceList list;
  list.version = entry.revision;
  const json items =
      json::parse(entry.body, nullptr, /*allow_exceptions=*/false);
  for (const json& item : items) {
    list.instances.push_back({item.value("name", ""), item.value("service", ""),
                              item.value("region", ""),
                              item.value("failure_domain", ""),
                              item.value("http", ""), item.value("peer", ""),
                              item.value("leaving", false)});
  }
  return list;
}

}  // namespace redwing
