#include "framework/settings/object_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

#include "framework/settings/endpoint.h"

namespace redwing {

namespace {

using nlohmann::json;

size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  for (size_t j = 0; j <= b.size(); ++j) {
    row[j] = j;
  }
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
    }
  }
  return row[b.size()];
}

}  // namespace

void Problems::Add(const std::string& pointer, const std::string& message) {
  messages_.push_back(fmt::format("{}:{}: {}: {}", source_->origin(),
                                  source_->LineOf(pointer),
                                  pointer.empty() ? "/" : pointer, message));
}

std::string Problems::Text() const {
  return fmt::format("{}", fmt::join(messages_, "\n"));
}

ObjectReader::ObjectReader(const json& value,
                           std::string pointer,
                           Problems& problems)
    : value_(value), pointer_(std::move(pointer)), problems_(problems) {
  if (!value_.is_object()) {
    problems_.Add(pointer_, fmt::format("expected an object, found {}",
                                        value_.type_name()));
  }
}

std::string ObjectReader::String(std::string_view name) {
  const json* field = Field(name, true);
  if (field == nullptr) {
    return "";
  }
  if (!field->is_string() || field->get_ref<const std::string&>().empty()) {
    Reject(name, fmt::format("expected a string that is not empty, found {}",
                             field->dump()));
    return "";
  }
  return field->get<std::string>();
}

std::string ObjectReader::String(std::string_view name,
                                 std::string_view fallback) {
  return Field(name, false) == nullptr ? std::string(fallback) : String(name);
}

std::string ObjectReader::Endpoint(std::string_view name) {
  const bool present = Field(name, false) != nullptr;
  std::string text = String(name);
  if (present && !text.empty() && !ParseEndpoint(text)) {
    Reject(name, fmt::format("expected an address such as \"127.0.0.1:8080\", "
                             "found \"{}\"",
                             text));
  }
  return text;
}

std::string ObjectReader::Endpoint(std::string_view name,
                                   std::string_view fallback) {
  return Field(name, false) == nullptr ? std::string(fallback) : Endpoint(name);
}

int64_t ObjectReader::Integer(std::string_view name, int64_t min, int64_t max) {
  const json* field = Field(name, true);
  if (field == nullptr) {
    return min;
  }
  const bool fits =
      field->is_number_integer() &&
      !(field->is_number_unsigned() &&
        field->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX));
  const int64_t value = fits ? field->get<int64_t>() : 0;
  if (!fits || value < min || value > max) {
    Reject(name, fmt::format("expected a whole number from {} to {}, found {}",
                             min, max, field->dump()));
    return min;
  }
  return value;
}

int64_t ObjectReader::Integer(std::string_view name,
                              int64_t min,
                              int64_t max,
                              int64_t fallback) {
  return Field(name, false) == nullptr ? fallback : Integer(name, min, max);
}

double ObjectReader::Number(std::string_view name, double min, double max) {
  const json* field = Field(name, true);
  if (field == nullptr) {
    return min;
  }
  const double value = field->is_number() ? field->get<double>() : 0;
  if (!field->is_number() || !(value >= min && value <= max)) {
    Reject(name, fmt::format("expected a number from {} to {}, found {}", min,
                             max, field->dump()));
    return min;
  }
  return value;
}

double ObjectReader::Number(std::string_view name,
                            double min,
                            double max,
                            double fallback) {
  return Field(name, false) == nullptr ? fallback : Number(name, min, max);
}

bool ObjectReader::Boolean(std::string_view name, bool fallback) {
  const json* field = Field(name, false);
  if (field == nullptr) {
    return fallback;
  }
  if (!field->is_boolean()) {
    Reject(name,
           fmt::format("expected true or false, found {}", field->dump()));
    return fallback;
  }
  return field->get<bool>();
}

std::vector<std::string> ObjectReader::Strings(std::string_view name) {
  const json* field = Field(name, false);
  if (field == nullptr) {
    return {};
  }
  const bool valid =
      field->is_array() &&
      std::all_of(field->begin(), field->end(),
                  [](const json& item) { return item.is_string(); });
  if (!valid) {
    Reject(name, fmt::format("expected an array of strings, found {}",
                             field->type_name()));
    return {};
  }
  return field->get<std::vector<std::string>>();
}

void ObjectReader::Objects(std::string_view name,
                           const std::function<void(ObjectReader&)>& read) {
  const json* field = Field(name, false);
  if (field == nullptr) {
    return;
  }
  if (!field->is_array()) {
    Reject(name, fmt::format("expected an array of objects, found {}",
                             field->type_name()));
    return;
  }
  for (size_t i = 0; i < field->size(); ++i) {
    ObjectReader reader((*field)[i], fmt::format("{}/{}", At(name), i),
                        problems_);
    read(reader);
    reader.Finish();
  }
}

void ObjectReader::Object(std::string_view name,
                          const std::function<void(ObjectReader&)>& read) {
  const json* field = Field(name, false);
  if (field == nullptr) {
    return;
  }
  ObjectReader reader(*field, At(name), problems_);
  read(reader);
  reader.Finish();
}

void ObjectReader::NamedObjects(
    std::string_view name,
    const std::function<void(const std::string&, ObjectReader&)>& read) {
  const json* field = Field(name, false);
  if (field == nullptr) {
    return;
  }
  if (!field->is_object()) {
    Reject(name,
           fmt::format("expected an object, found {}", field->type_name()));
    return;
  }
  for (auto item = field->begin(); item != field->end(); ++item) {
    ObjectReader reader(*item,
                        (json::json_pointer(At(name)) / item.key()).to_string(),
                        problems_);
    read(item.key(), reader);
    reader.Finish();
  }
}

bool ObjectReader::Has(std::string_view name) const {
  return value_.is_object() && value_.contains(name);
}

void ObjectReader::Reject(std::string_view name, const std::string& message) {
  problems_.Add(At(name), message);
}

void ObjectReader::Finish() {
  if (!value_.is_object()) {
    return;
  }
  for (auto item = value_.begin(); item != value_.end(); ++item) {
    if (known_.count(item.key()) == 0) {
      Reject(item.key(),
             fmt::format("unknown name; the nearest valid name is \"{}\"",
                         NearestName(item.key(), known_)));
    }
  }
}

const json* ObjectReader::Field(std::string_view name, bool required) {
  known_.emplace(name);
  if (!value_.is_object()) {
    return nullptr;
  }
  const auto field = value_.find(name);
  if (field != value_.end()) {
    return &*field;
  }
  if (required) {
    problems_.Add(pointer_, fmt::format("\"{}\" is missing", name));
  }
  return nullptr;
}

std::string ObjectReader::At(std::string_view name) const {
  return (json::json_pointer(pointer_) / std::string(name)).to_string();
}

std::string NearestName(std::string_view name,
                        const std::set<std::string, std::less<>>& candidates) {
  const auto nearest =
      std::min_element(candidates.begin(), candidates.end(),
                       [name](const std::string& a, const std::string& b) {
                         return EditDistance(name, a) < EditDistance(name, b);
                       });
  return nearest == candidates.end() ? "" : *nearest;
}

}  // namespace redwing
