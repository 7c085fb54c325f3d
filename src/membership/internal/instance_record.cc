#include "membership/instance_record.h"

#include "framework/settings/endpoint.h"
#include "membership/identity.h"

namespace redwing {

StoredObject EncodeInstanceRecord(const Identity& identity) {
  StoredObject object;
  object.kind = kInstanceKind;
  object.name = identity.name;
  object.spec = {{"region", identity.region},
                 {"failure_domain", identity.failure_domain},
                 {"http_address", identity.http_address},
                 {"peer_address", identity.peer_address},
                 {"process_id", identity.process_id}};
  return object;
}

std::optional<ListedInstance> DecodeInstanceRecord(const StoredObject& object) {
  ListedInstance instance;
  instance.name = object.name;
  instance.service = InstanceDirectory::kEntryService;
  try {
    instance.region = object.spec.at("region");
    instance.failure_domain = object.spec.at("failure_domain");
    instance.http_address = object.spec.at("http_address");
    instance.peer_address = object.spec.at("peer_address");
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  if (!ParseEndpoint(instance.http_address) ||
      !ParseEndpoint(instance.peer_address)) {
    return std::nullopt;
  }
  return instance;
}

}  // namespace redwing
