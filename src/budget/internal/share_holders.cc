#include "budget/internal/share_holders.h"

#include <nlohmann/json.hpp>

#include "framework/wire/json_text.h"

namespace redwing {

namespace {
using nlohmann::json;
}  // namespace

int64_t ShareHolders::FreeParts(BudgetScope scope,
                                const std::string& region) const {
  int64_t free = kWhole;
  for (const auto& [name, holder] : by_instance) {
    if (scope == BudgetScope::kFleet || holder.region == region) {
      free -= holder.parts(scope);
    }
  }
  return free;
}

ShareHolders ShareHolders::Parse(const std::string& body) {
  ShareHolders holders;
  const json value = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object()) {
    return holders;
  }
  for (auto item = value.begin(); item != value.end(); ++item) {
    try {
      ShareHolder holder;
      holder.process_id = item->at("process");
      holder.region = item->at("region");
      holder.fleet_parts = item->at("fleet");
      holder.region_parts = item->at("in_region");
      holder.revoked = item->value("revoked", false);
      holder.inherited = item->value("inherited", false);
      holders.by_instance.emplace(item.key(), std::move(holder));
    } catch (const json::exception&) {
      continue;
    }
  }
  return holders;
}

std::string ShareHolders::Text() const {
  json value = json::object();
  for (const auto& [name, holder] : by_instance) {
    value[name] = {
        {"process", holder.process_id}, {"region", holder.region},
        {"fleet", holder.fleet_parts},  {"in_region", holder.region_parts},
        {"revoked", holder.revoked},    {"inherited", holder.inherited}};
  }
  return JsonText(value);
}

}  // namespace redwing
