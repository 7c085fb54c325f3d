#include "admin/state_editor.h"
#include "framework/kernel/spawn.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <random>

namespace redwing {
namespace {

using nlohmann::json;

// A store in memory that loses answers and fails calls.
class FlakyStore : public ObjectStore {
 public:
  explicit FlakyStore(uint64_t seed) : random_(seed) {}

  void set_failing(bool failing) { failing_ = failing; }

  Result<StoredObject> Get(const std::string& kind,
                           const std::string& name,
                           const Yield& /*yield*/) override {
    if (Drawn(4)) {
      return Lost();
    }
    const auto object = objects_.find(kind + "/" + name);
    if (object == objects_.end()) {
      return NotRun(Errc::kNotFound, name);
    }
    return object->second;
  }
  Result<ObjectList> List(const std::string& kind,
                          const Yield& /*yield*/) override {
    ObjectList list;
    for (const auto& [path, object] : objects_) {
      if (object.kind == kind) {
        list.objects.push_back(object);
      }
    }
    return list;
  }
  Result<StoredObject> Create(const StoredObject& object,
                              const Yield& /*yield*/) override {
    return Write(object, true);
  }
  Result<StoredObject> Update(const StoredObject& object,
                              const Yield& /*yield*/) override {
    return Write(object, false);
  }
  Result<void> Delete(const StoredObject& object,
                      const Yield& /*yield*/) override {
    objects_.erase(object.kind + "/" + object.name);
    return boost::outcome_v2::success();
  }
  Failure Watch(const std::string& /*kind*/,
                const std::string& /*version*/,
                const std::function<void(const StoredObject&)>& /*on_object*/,
                const Yield& /*yield*/) override {
    return Lost();
  }

 private:
  bool Drawn(int one_in) { return failing_ && random_() % one_in == 0; }
  static Failure Lost() {
    return MayHaveRun(Errc::kStoreUnavailable, "answer lost");
  }
  Result<StoredObject> Write(StoredObject object, bool create) {
    if (Drawn(6)) {
      return Lost();
    }
    const std::string path = object.kind + "/" + object.name;
    const auto held = objects_.find(path);
    if (create != (held == objects_.end()) ||
        (!create && held->second.version != object.version)) {
      return NotRun(Errc::kConflict, path);
    }
    object.version = std::to_string(++version_);
    objects_[path] = object;
    return Drawn(3) ? Result<StoredObject>(Lost()) : object;
  }

  std::mt19937_64 random_;
  bool failing_ = true;
  uint64_t version_ = 0;
  std::map<std::string, StoredObject> objects_;
};

// Runs a function in a coroutine.
template <typename Function>
void InCoroutine(const Function& function) {
  boost::asio::io_context io;
  Spawn(io, [&](const Yield& yield) { function(yield); });
  io.run();
}

TEST_CASE("with answers lost, each accepted edit is applied exactly once") {
  const uint64_t seed = GENERATE(range<uint64_t>(1, 11));
  CAPTURE(seed);
  const std::shared_ptr<FlakyStore> store = std::make_shared<FlakyStore>(seed);
  StateEditor editor(store);
  InCoroutine([&](const Yield& yield) {
    int accepted = 0;
    int unknown = 0;
    for (int i = 0; i < 300; ++i) {
      StateEdit edit;
      edit.entry = "section.counter";
      edit.who = "op";
      edit.action = "add";
      edit.change = [](const json& current) -> Result<json> {
        const int value = current.is_null() ? 0 : current.at("n").get<int>();
        return json{{"n", value + 1}};
      };
      const Result<StateEditResult> result = editor.Apply(edit, yield);
      accepted += result ? 1 : 0;
      unknown += !result && result.error().verdict != Verdict::kNotRun ? 1 : 0;
    }
    store->set_failing(false);
    const int value = editor.Read("section.counter", yield).value().body["n"];
    CHECK(accepted > 100);
    CHECK(value >= accepted);
    CHECK(value <= accepted + unknown);
    const std::vector<AuditRecord> history =
        editor.History("section.counter", yield).value();
    CHECK(history.size() == static_cast<size_t>(value));
    CHECK(FindAuditProblems(history).empty());
  });
}

TEST_CASE("a stale edit is refused") {
  const std::shared_ptr<FlakyStore> store = std::make_shared<FlakyStore>(1);
  store->set_failing(false);
  StateEditor editor(store);
  InCoroutine([&](const Yield& yield) {
    StateEdit edit;
    edit.entry = "section.a";
    edit.from_revision = 0;
    edit.change = [](const json& /*current*/) -> Result<json> {
      return json::object();
    };
    CHECK(editor.Apply(edit, yield).value().revision == 1);
    CHECK(editor.Apply(edit, yield).error().errc == Errc::kConflict);
    edit.from_revision = 1;
    CHECK(editor.Apply(edit, yield).value().revision == 2);
  });
}

}  // namespace
}  // namespace redwing
