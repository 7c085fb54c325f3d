#ifndef REDWING_FRAMEWORK_SETTINGS_OBJECT_READER_H_
#define REDWING_FRAMEWORK_SETTINGS_OBJECT_READER_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "framework/settings/json_source.h"

namespace redwing {

// Collects the problems found in one JSON source. Each message gives origin,
// line, path and what was expected.
class Problems {
 public:
  explicit Problems(const JsonSource& source) : source_(&source) {}

  void Add(const std::string& pointer, const std::string& message);
  bool empty() const { return messages_.empty(); }
  const std::vector<std::string>& messages() const { return messages_; }

  // Joins the messages, one a line.
  std::string Text() const;

 private:
  const JsonSource* source_;
  std::vector<std::string> messages_;
};

// Reads the fields of one JSON object and reports missing, ill-typed,
// out-of-range and unknown ones. Call Finish() after the last field.
class ObjectReader {
 public:
  ObjectReader(const nlohmann::json& value,
               std::string pointer,
               Problems& problems);

  const std::string& pointer() const { return pointer_; }

  std::string String(std::string_view name);
  std::string String(std::string_view name, std::string_view fallback);
  // Reads an IP endpoint such as "127.0.0.1:8080".
  std::string Endpoint(std::string_view name);
  std::string Endpoint(std::string_view name, std::string_view fallback);
  int64_t Integer(std::string_view name, int64_t min, int64_t max);
  int64_t Integer(std::string_view name,
                  int64_t min,
                  int64_t max,
                  int64_t fallback);
  double Number(std::string_view name, double min, double max);
  double Number(std::string_view name, double min, double max, double fallback);
  bool Boolean(std::string_view name, bool fallback);
  // Reads an optional array of strings; absent means empty.
  std::vector<std::string> Strings(std::string_view name);
  // Calls `read` with a reader for each object of an optional array.
  void Objects(std::string_view name,
               const std::function<void(ObjectReader&)>& read);
  // Calls `read` with a reader for an optional object.
  void Object(std::string_view name,
              const std::function<void(ObjectReader&)>& read);
  // Calls `read` with each name and a reader for each object of an optional
  // object of objects.
  void NamedObjects(
      std::string_view name,
      const std::function<void(const std::string&, ObjectReader&)>& read);

  // Returns whether the field is there.
  bool Has(std::string_view name) const;

  // Reports a problem with a field.
  void Reject(std::string_view name, const std::string& message);

  // Reports every field that was not asked for, with the nearest valid name.
  void Finish();

 private:
  const nlohmann::json* Field(std::string_view name, bool required);
  std::string At(std::string_view name) const;

  const nlohmann::json& value_;
  std::string pointer_;
  Problems& problems_;
  std::set<std::string, std::less<>> known_;
};

// Returns the candidate with the smallest edit distance to `name`, or "" when
// there are none.
std::string NearestName(std::string_view name,
                        const std::set<std::string, std::less<>>& candidates);

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_SETTINGS_OBJECT_READER_H_
