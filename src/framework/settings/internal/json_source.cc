#include "framework/settings/json_source.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <vector>

namespace redwing {

namespace {

using nlohmann::json;

// Input iterator that counts the newlines which the parser has consumed.
class LineCountingIterator {
 public:
  // NOLINTBEGIN(readability-identifier-naming): names of the standard library.
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;
  // NOLINTEND(readability-identifier-naming)

  LineCountingIterator(const char* position, int* line)
      : position_(position), line_(line) {}

  reference operator*() const { return *position_; }
  LineCountingIterator& operator++() {
    if (*position_ == '\n') {
      ++*line_;
    }
    ++position_;
    return *this;
  }
  bool operator==(const LineCountingIterator& other) const {
    return position_ == other.position_;
  }
  bool operator!=(const LineCountingIterator& other) const {
    return position_ != other.position_;
  }

 private:
  const char* position_;
  int* line_;
};

// Records the line at which each value starts, by JSON pointer. Refuses texts
// that nest deeper than kMaxDepth and objects that repeat a name.
class LineRecorder : public nlohmann::json_sax<json> {
 public:
  static constexpr size_t kMaxDepth = 64;

  LineRecorder(const int* line, std::map<std::string, int>* lines)
      : line_(line), lines_(lines) {}

  const std::string& error() const { return error_; }

  bool null() override { return Value(); }
  bool boolean(bool /*value*/) override { return Value(); }
  bool number_integer(number_integer_t /*value*/) override { return Value(); }
  bool number_unsigned(number_unsigned_t /*value*/) override { return Value(); }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return Value();
  }
  bool string(string_t& /*value*/) override { return Value(); }
  bool binary(binary_t& /*value*/) override { return Value(); }
  bool start_object(size_t /*size*/) override { return Open(false); }
  bool end_object() override { return Close(); }
  bool start_array(size_t /*size*/) override { return Open(true); }
  bool end_array() override { return Close(); }

  bool key(string_t& value) override {
    levels_.back().token = json::json_pointer::string_t(value);
    const bool fresh = lines_->emplace(Pointer(), *line_).second;
    if (!fresh) {
      error_ =
          fmt::format("line {}: name \"{}\" is given twice", *line_, value);
    }
    return fresh;
  }

  bool parse_error(size_t /*position*/,
                   const std::string& /*token*/,
                   const nlohmann::detail::exception& exception) override {
    error_ = exception.what();
    return false;
  }

 private:
  struct Level {
    bool is_array;
    size_t index;
    std::string token;
  };

  std::string Pointer() const {
    json::json_pointer pointer;
    for (const Level& level : levels_) {
      pointer /= level.is_array ? std::to_string(level.index) : level.token;
    }
    return pointer.to_string();
  }

  bool Value() {
    lines_->emplace(Pointer(), *line_);
    Advance();
    return true;
  }

  void Advance() {
    if (!levels_.empty() && levels_.back().is_array) {
      ++levels_.back().index;
    }
  }

  bool Open(bool is_array) {
    if (levels_.size() >= kMaxDepth) {
      error_ = fmt::format("line {}: nested deeper than {}", *line_, kMaxDepth);
      return false;
    }
    lines_->emplace(Pointer(), *line_);
    levels_.push_back({is_array, 0, ""});
    return true;
  }

  bool Close() {
    levels_.pop_back();
    Advance();
    return true;
  }

  const int* line_;
  std::map<std::string, int>* lines_;
  std::vector<Level> levels_;
  std::string error_;
};

}  // namespace

Result<JsonSource> JsonSource::Parse(std::string_view text,
                                     std::string origin) {
  JsonSource source;
  source.origin_ = std::move(origin);
  int line = 1;
  LineRecorder recorder(&line, &source.lines_);
  const bool valid = json::sax_parse(
      LineCountingIterator(text.data(), &line),
      LineCountingIterator(text.data() + text.size(), &line), &recorder,
      json::input_format_t::json, /*strict=*/true, /*ignore_comments=*/true);
  if (!valid) {
    return NotRun(Errc::kInvalidSettings,
                  fmt::format("{}: {}", source.origin_, recorder.error()));
  }
  source.root_ = json::parse(text.begin(), text.end(), nullptr,
                             /*allow_exceptions=*/false,
                             /*ignore_comments=*/true);
  return source;
}

Result<JsonSource> JsonSource::Load(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return NotRun(Errc::kInvalidSettings,
                  fmt::format("file \"{}\" cannot be read", path));
  }
  std::stringstream text;
  text << file.rdbuf();
  return Parse(text.str(), path);
}

int JsonSource::LineOf(const std::string& pointer) const {
  std::string at = pointer;
  while (true) {
    const auto line = lines_.find(at);
    if (line != lines_.end()) {
      return line->second;
    }
    if (at.empty()) {
      return 1;
    }
    at.resize(at.rfind('/'));
  }
}

}  // namespace redwing
