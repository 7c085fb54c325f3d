#ifndef REDWING_REVIEW_STAND_INS_STORE_H_
#define REDWING_REVIEW_STAND_INS_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "stand_ins/http.h"

namespace review {

// The platform's metadata store, as PROTOCOL.md publishes it: objects by kind
// and name, one revision counter, conditional writes, lists in pages, waits for
// changes, 410 where history is gone.
class Store {
 public:
  explicit Store(const std::string& ip);

  const std::string& address() const { return server_->address(); }

  // Writes as the operator or an upstream does; returns the revision, which is
  // the ack. Returns 0 while the store is away.
  uint64_t Put(const std::string& kind,
               const std::string& name,
               const nlohmann::json& spec);
  void Remove(const std::string& kind, const std::string& name);
  // Adds an entry to each list of a kind whose bytes are written as they are;
  // an empty text removes it.
  void AddRaw(const std::string& kind, const std::string& text);

  // Goes away: connections are refused or reset.
  void SetAway(bool away);
  // Keeps a copy of all objects, and comes back from it: what was written since
  // is gone, revisions go back, and Store-Era rises by one.
  void Copy();
  void Restore();
  uint64_t revision();

 private:
  struct Object {
    uint64_t revision = 0;
    uint64_t created = 0;
    nlohmann::json finalizers = nlohmann::json::array();
    nlohmann::json spec;
    nlohmann::json status;
  };
  struct Change {
    uint64_t revision = 0;
    std::string kind;
    nlohmann::json event;
  };
  using Objects = std::map<std::string, std::map<std::string, Object>>;

  bool Handle(Socket& socket, const Message& request);
  std::string Answer(int status, const std::string& body);
  std::string List(const std::string& kind, const std::string& after);
  std::string Watch(const std::string& kind, uint64_t from, double wait);
  std::string Write(const Message& request,
                    const std::string& kind,
                    const std::string& path_name);
  std::string Delete(const std::string& kind,
                     const std::string& name,
                     const std::string& revision);
  nlohmann::json Render(const std::string& kind, const std::string& name);
  void Note(const std::string& kind, const std::string& name, bool removed);

  std::mutex mutex_;
  std::condition_variable changed_;
  Objects objects_;
  std::map<std::string, std::string> raw_;
  std::deque<Change> changes_;
  // Waits from before this revision get 410.
  uint64_t history_from_ = 0;
  uint64_t revision_ = 100;
  int era_ = 1;
  bool away_ = false;
  Objects copy_;
  uint64_t copy_revision_ = 0;
  std::unique_ptr<Server> server_;
};

}  // namespace review

#endif  // REDWING_REVIEW_STAND_INS_STORE_H_
