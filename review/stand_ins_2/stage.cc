// A small deployment on loopback: the platform's store, servers and clients,
// all in this process, and entry instances as processes of their own.
//
//   stage CASE TROUBLE PROGRAM FOLDER
//
// CASE names the disruption, TROUBLE is 0 or 1, PROGRAM the entry's program and
// FOLDER a temporary folder. Writes the record to stdout. Exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

using Steady = std::chrono::steady_clock;

const Steady::time_point kBegun = Steady::now();

double Now() {
  return std::chrono::duration<double>(Steady::now() - kBegun).count();
}

void SleepUntil(double time) {
  const double left = time - Now();
  if (left > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(left));
  }
}

int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// ---- HTTP/1.1 over blocking sockets ----

struct Message {
  std::string start;                          // request line or status line
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;

  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

// Reads one message with a length or without a body; false at the end.
bool ReadMessage(int fd, std::string* buffer, Message* message) {
  char piece[16384];
  size_t end = std::string::npos;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    const ssize_t size = recv(fd, piece, sizeof(piece), 0);
    if (size <= 0) {
      return false;
    }
    buffer->append(piece, static_cast<size_t>(size));
  }
  message->fields.clear();
  size_t line = buffer->find("\r\n");
  message->start = buffer->substr(0, line);
  while (line < end) {
    const size_t begin = line + 2;
    line = buffer->find("\r\n", begin);
    const std::string text = buffer->substr(begin, line - begin);
    const size_t colon = text.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = text.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const size_t value = text.find_first_not_of(' ', colon + 1);
    message->fields[name] =
        value == std::string::npos ? "" : text.substr(value);
  }
  buffer->erase(0, end + 4);
  const size_t length =
      std::strtoul(message->Field("content-length").c_str(), nullptr, 10);
  while (buffer->size() < length) {
    const ssize_t size = recv(fd, piece, sizeof(piece), 0);
    if (size <= 0) {
      return false;
    }
    buffer->append(piece, static_cast<size_t>(size));
  }
  message->body = buffer->substr(0, length);
  buffer->erase(0, length);
  return true;
}

bool WriteAll(int fd, const std::string& text) {
  size_t done = 0;
  while (done < text.size()) {
    const ssize_t size =
        send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    done += static_cast<size_t>(size);
  }
  return true;
}

std::string Response(int status,
                     const std::string& more,
                     const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

sockaddr_in AddressOf(const std::string& text) {
  const size_t colon = text.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<uint16_t>(
      std::strtoul(text.substr(colon + 1).c_str(), nullptr, 10)));
  return address;
}

// Serves connections, a thread each. End() closes all at once, as the end of a
// process does.
class Listener {
 public:
  // Answers a request of a caller with this IP address; an empty text closes
  // the connection.
  using Handler =
      std::function<std::string(const Message&, const std::string& caller)>;

  Listener(const std::string& address, Handler handler)
      : handler_(std::move(handler)) {
    const sockaddr_in at = AddressOf(address);
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
        listen(fd_, 512) != 0) {
      std::perror(address.c_str());
      std::exit(2);
    }
    socklen_t size = sizeof(sockaddr_in);
    sockaddr_in bound{};
    getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size);
    address_ = address.substr(0, address.find(':')) + ":" +
               std::to_string(ntohs(bound.sin_port));
    std::thread([this]() { Accept(); }).detach();
  }

  const std::string& address() const { return address_; }

  void End() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ended_ = true;
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
    for (const int fd : open_) {
      shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  void Accept() {
    while (true) {
      sockaddr_in from{};
      socklen_t size = sizeof(from);
      const int fd =
          accept4(fd_, reinterpret_cast<sockaddr*>(&from), &size, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      if (ended_) {
        close(fd);
        return;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      open_.insert(fd);
      char text[INET_ADDRSTRLEN] = "";
      inet_ntop(AF_INET, &from.sin_addr, text, sizeof(text));
      const std::string caller = text;
      std::thread([this, fd, caller]() { Serve(fd, caller); }).detach();
    }
  }

  void Serve(int fd, const std::string& caller) {
    std::string buffer;
    Message message;
    while (ReadMessage(fd, &buffer, &message)) {
      const std::string answer = handler_(message, caller);
      if (answer.empty() || !WriteAll(fd, answer)) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(fd);
    close(fd);
  }

  Handler handler_;
  int fd_ = -1;
  std::string address_;
  std::mutex mutex_;
  bool ended_ = false;
  std::set<int> open_;
};

// Sends one request on a new connection; the status is 0 if none came.
int Call(const std::string& address,
         const std::string& request,
         double timeout_s,
         Message* answer) {
  const sockaddr_in to = AddressOf(address);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{};
  limit.tv_sec = static_cast<time_t>(timeout_s);
  limit.tv_usec = static_cast<suseconds_t>((timeout_s - limit.tv_sec) * 1e6);
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  std::string buffer;
  const bool answered =
      connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0 &&
      WriteAll(fd, request) && ReadMessage(fd, &buffer, answer);
  close(fd);
  return answered ? std::atoi(answer->start.substr(9, 3).c_str()) : 0;
}

// ---- The platform's store ----

class Store {
 public:
  explicit Store(const std::string& ip)
      : listener_(ip + ":0",
                  [this](const Message& m, const std::string& caller) {
                    return Handle(m, caller);
                  }) {}

  const std::string& address() const { return listener_.address(); }

  // Writes as the operator or a server does.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec) {
    const std::lock_guard<std::mutex> lock(mutex_);
    PutLocked(kind, name, spec);
  }

  // Turns away those machines that read the list of servers last.
  std::set<std::string> RefuseReaders(size_t count) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::pair<double, std::string>> last;
    for (const auto& [machine, at] : read_at_) {
      last.emplace_back(at, machine);
    }
    std::sort(last.rbegin(), last.rend());
    for (size_t i = 0; i < std::min(count, last.size()); ++i) {
      refused_.insert(last[i].second);
    }
    changed_.notify_all();
    return refused_;
  }

  void RefuseNobody() {
    const std::lock_guard<std::mutex> lock(mutex_);
    refused_.clear();
  }

 private:
  struct Object {
    uint64_t revision = 0;
    std::string spec;
  };
  struct Change {
    uint64_t revision;
    std::string kind;
    std::string event;
  };

  void PutLocked(const std::string& kind,
                 const std::string& name,
                 const std::string& spec) {
    Object& object = objects_[kind][name];
    object.revision = ++revision_;
    object.spec = spec;
    changes_.push_back(
        {revision_, kind,
         "{\"object\":" + Text(kind, name) + ",\"removed\":false}"});
    changed_.notify_all();
  }

  std::string Text(const std::string& kind, const std::string& name) {
    const Object& object = objects_[kind][name];
    return "{\"metadata\":{\"name\":\"" + name +
           "\",\"revision\":" + std::to_string(object.revision) +
           ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" +
           object.spec + ",\"status\":{}}";
  }

  static std::string Query(const std::string& query, const std::string& name) {
    const size_t at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) {
      return "";
    }
    const std::string rest = query.substr(at + name.size() + 1);
    return rest.substr(0, rest.find('&'));
  }

  // Returns the JSON value under a name of the text's first such field.
  static std::string ValueOf(const std::string& text, const std::string& name) {
    const size_t at = text.find("\"" + name + "\"");
    if (at == std::string::npos) {
      return "";
    }
    size_t i = text.find(':', at) + 1;
    const size_t begin = i;
    int depth = 0;
    bool quoted = false;
    for (; i < text.size(); ++i) {
      const char c = text[i];
      if (quoted) {
        if (c == '\\') {
          ++i;
        } else if (c == '"') {
          quoted = false;
        }
      } else if (c == '"') {
        quoted = true;
      } else if (c == '{' || c == '[') {
        ++depth;
      } else if (depth == 0 && (c == ',' || c == '}' || c == ']')) {
        break;
      } else if (c == '}' || c == ']') {
        --depth;
      }
    }
    return text.substr(begin, i - begin);
  }

  std::string Json(int status, const std::string& body) const {
    return Response(status,
                    "Content-Type: application/json\r\nStore-Era: 1\r\n", body);
  }

  std::string Handle(const Message& message, const std::string& caller) {
    const size_t first = message.start.find(' ');
    const std::string method = message.start.substr(0, first);
    std::string target =
        message.start.substr(first + 1, message.start.rfind(' ') - first - 1);
    const size_t question = target.find('?');
    const std::string query =
        question == std::string::npos ? "" : target.substr(question + 1);
    target = target.substr(0, question);
    if (target.rfind("/objects/", 0) != 0) {
      return Json(404, "{}");
    }
    const std::string path = target.substr(9);
    const size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    std::unique_lock<std::mutex> lock(mutex_);
    if (refused_.count(caller) > 0) {
      return Json(503, "{}");
    }
    if (method == "GET" && !Query(query, "watch").empty()) {
      return Watch(kind, query, caller, &lock);
    }
    if (method == "GET" && kind == "servers" && name.empty()) {
      read_at_[caller] = Now();
    }
    std::map<std::string, Object>& objects = objects_[kind];
    if (method == "GET" && name.empty()) {
      std::string items;
      for (const auto& [known, object] : objects) {
        items += (items.empty() ? "" : ",") + Text(kind, known);
      }
      return Json(200, "{\"items\":[" + items +
                           "],\"hasMore\":false,\"asOf\":" +
                           std::to_string(revision_) + "}");
    }
    if (method == "GET") {
      return objects.count(name) > 0 ? Json(200, Text(kind, name))
                                     : Json(404, "{}");
    }
    if (method == "DELETE") {
      const std::string revision = Query(query, "revision");
      if (objects.count(name) == 0) {
        return Json(404, "{}");
      }
      if (!revision.empty() &&
          revision != std::to_string(objects[name].revision)) {
        return Json(409, Text(kind, name));
      }
      ++revision_;
      changes_.push_back(
          {revision_, kind,
           "{\"object\":" + Text(kind, name) + ",\"removed\":true}"});
      objects.erase(name);
      changed_.notify_all();
      return Json(200, "{}");
    }
    const std::string metadata = ValueOf(message.body, "metadata");
    if (method == "POST") {
      name = ValueOf(metadata, "name");
      name = name.substr(1, name.size() - 2);
    }
    const bool exists = objects.count(name) > 0;
    const std::string revision = ValueOf(metadata, "revision");
    if (method == "POST" ? exists : !exists) {
      return exists ? Json(409, Text(kind, name)) : Json(404, "{}");
    }
    if (exists && !revision.empty() &&
        revision != std::to_string(objects[name].revision)) {
      return Json(409, Text(kind, name));
    }
    PutLocked(kind, name, ValueOf(message.body, "spec"));
    return Json(200, Text(kind, name));
  }

  std::string Watch(const std::string& kind,
                    const std::string& query,
                    const std::string& caller,
                    std::unique_lock<std::mutex>* lock) {
    const uint64_t after =
        std::strtoull(Query(query, "watch").c_str(), nullptr, 10);
    const Steady::time_point end =
        Steady::now() + std::chrono::milliseconds(std::strtoul(
                            Query(query, "waitMs").c_str(), nullptr, 10));
    while (true) {
      if (refused_.count(caller) > 0) {
        return Json(503, "{}");
      }
      std::string events;
      for (const Change& change : changes_) {
        if (change.kind == kind && change.revision > after) {
          events += (events.empty() ? "" : ",") + change.event;
        }
      }
      if (!events.empty() ||
          changed_.wait_until(*lock, end) == std::cv_status::timeout) {
        return Json(200, "{\"events\":[" + events +
                             "],\"asOf\":" + std::to_string(revision_) + "}");
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  // When each machine last read the list of servers.
  std::map<std::string, double> read_at_;
  // Machines that are turned away.
  std::set<std::string> refused_;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Change> changes_;
  uint64_t revision_ = 100;
  Listener listener_;
};

// ---- Servers ----

struct Arrival {
  double at;
  double sent;  // when its client sent it
  std::string id;
  std::string server;
  std::string tenant;
  int start;
  bool cold;
  bool run;
};

std::mutex record_mutex;
std::vector<Arrival> arrivals;
std::map<std::string, double> sent_at;
std::map<std::string, std::string> sent_to;
std::map<std::string, double> left_at;
std::vector<std::string> record;

void Note(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ", Now());
  const std::lock_guard<std::mutex> lock(record_mutex);
  record.push_back(time + text);
}

constexpr double kHeartbeat = 1.5;
constexpr double kWarmup = 3.0;
constexpr double kDrain = 2.0;
constexpr double kConfigApply = 2.0;
constexpr double kMaxStretch = 5.0;
constexpr int kSlots = 9;

// A server of the service "svc", with one thread for its check-ins.
class Server {
 public:
  // What happens to a check-in.
  enum class Hold { kNone, kNote, kLose };

  Server(Store& store,
         std::string id,
         const std::string& ip,
         std::string zone,
         double work_s)
      : store_(store),
        id_(std::move(id)),
        address_(ip + ":8600"),
        zone_(std::move(zone)),
        work_s_(work_s) {}

  // Starts, cold or warm, and says so at once.
  void Start(bool cold) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++start_;
      born_ = UnixMillis();
      seq_ = 0;
      state_ = "ready";
      cold_until_ = cold ? Now() + kWarmup : 0;
      up_ = true;
      running_ = 0;
    }
    listener_ = new Listener(
        address_, [this](const Message& m, const std::string& /*caller*/) {
          return Handle(m);
        });
    Note("server " + id_ + " starts, start " + std::to_string(start_) +
         (cold ? ", cold" : ""));
    const int start = start_;
    std::thread([this, start]() { CheckIns(start); }).detach();
  }

  // Ends at once, as a process that crashes.
  void Crash() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      up_ = false;
    }
    listener_->End();
    Note("server " + id_ + " crashes");
  }

  // The next check-in gets no answer and is carried out when CarryOut() is
  // called.
  // Without `trouble`, it is answered at once and nothing is carried out late.
  void HoldNextCheckIn(bool trouble) {
    held_at_ = 0;
    hold_ = trouble ? Hold::kLose : Hold::kNote;
    while (held_at_ == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
  double held_at() const { return held_at_; }
  void CarryOut(bool trouble) {
    if (!trouble) {
      return;
    }
    Note("the store carries out a check-in that it has not answered: " + held_);
    store_.Put("servers", id_, held_);
  }

  void Drain() {
    const std::lock_guard<std::mutex> lock(mutex_);
    state_ = "draining";
    Write(Entry());
    drained_at_ = Now();
    Note("the store acknowledges that server " + id_ + " is draining");
  }

  const std::string& id() const { return id_; }
  double drained_at() const { return drained_at_; }
  double cold_until() const { return cold_until_; }

 private:
  std::string Entry() {
    const int64_t left = std::max<int64_t>(
        0, static_cast<int64_t>((cold_until_ - Now()) * 1000));
    return "{\"service\":\"svc\",\"address\":\"" + address_ + "\",\"zone\":\"" +
           zone_ + "\",\"version\":\"v1\",\"slots\":" + std::to_string(kSlots) +
           ",\"state\":\"" + state_ + "\",\"warmup_time\":\"" +
           std::to_string(left) + "ms\",\"seq\":" + std::to_string(++seq_) +
           ",\"born\":" + std::to_string(born_) + "}";
  }

  void Write(const std::string& entry) { store_.Put("servers", id_, entry); }

  void CheckIns(int start) {
    double next = Now();
    while (true) {
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!up_ || start != start_) {
          return;
        }
        const std::string entry = Entry();
        const Hold hold = hold_.exchange(Hold::kNone);
        if (hold == Hold::kLose) {
          held_ = entry;
          Note("a check-in of server " + id_ + " gets no answer: " + entry);
        } else {
          Write(entry);
        }
        if (hold != Hold::kNone) {
          held_at_ = Now();
        }
      }
      next += kHeartbeat;
      // After its word that it leaves, the next is due a heartbeat later.
      while (Now() < next) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        next = std::max(next, drained_at_ + kHeartbeat);
      }
    }
  }

  std::string Handle(const Message& message) {
    const std::string id = message.Field("x-redwingcart-request-id");
    const std::string wanted = message.Field("x-redwingcart-target-instance");
    const size_t first = message.start.find(' ');
    const std::string path =
        message.start.substr(first + 1, message.start.rfind(' ') - first - 1);
    if (path == "/health") {
      std::unique_lock<std::mutex> lock(mutex_);
      const int64_t left = std::max<int64_t>(
          0, static_cast<int64_t>((cold_until_ - Now()) * 1000));
      return Response(
          state_ == "ready" ? 200 : 503,
          "X-Redwingcart-Instance-Id: " + id_ +
              "\r\nX-Redwingcart-Warmup-Ms: " + std::to_string(left) + "\r\n",
          "");
    }
    const std::string echo = "X-Redwingcart-Request-Id: " + id + "\r\n";
    if (!wanted.empty() && wanted != id_) {
      return Response(421, echo + "X-Redwingcart-Not-Executed: 1\r\n", "");
    }
    bool run = false;
    std::string load;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      run = running_ < kSlots;
      running_ += run ? 1 : 0;
      load = "X-Redwingcart-Server-Load: " + std::to_string(running_) + ",0," +
             std::to_string(kSlots) + "\r\n";
      const std::lock_guard<std::mutex> record_lock(record_mutex);
      arrivals.push_back({Now(), sent_at[id], id, id_,
                          message.Field("x-redwingcart-tenant"), start_,
                          Now() < cold_until_, run});
    }
    if (!run) {
      return Response(503, echo + load + "X-Redwingcart-Not-Executed: 1\r\n",
                      "");
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(work_s_));
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      --running_;
    }
    return Response(200,
                    echo + load + "X-Redwingcart-Response-Signature: s." + id_ +
                        "." + id + "\r\n",
                    "done " + id);
  }

  Store& store_;
  std::string id_;
  std::string address_;
  std::string zone_;
  double work_s_;
  std::mutex mutex_;
  int start_ = 0;
  int64_t born_ = 0;
  int seq_ = 0;
  std::string state_;
  std::atomic<double> cold_until_ = 0;
  bool up_ = false;
  int running_ = 0;
  std::atomic<Hold> hold_ = Hold::kNone;
  std::atomic<double> held_at_ = 0;
  std::string held_;
  std::atomic<double> drained_at_ = 0;
  Listener* listener_ = nullptr;
};

// ---- Entry instances ----

constexpr int kMostEntries = 12;
// Entries of the case, over the zones in turn.
int entries = 4;
constexpr int kServers = 8;
constexpr double kRate = 240;
constexpr double kUploadRate = 132;
constexpr size_t kAFew = 10;
constexpr double kAllowedWhileCold = 5.6 * 1.5 + 5;
std::string network;  // first three numbers of all addresses

std::string Ip(int host) {
  return network + "." + std::to_string(host);
}

std::string ZoneOf(int index) {
  return "zone-" + std::to_string(index % 4);
}

std::string RegionOf(int index) {
  return index % 4 < 2 ? "region-0" : "region-1";
}

pid_t StartEntry(int index,
                 const std::string& program,
                 const std::string& folder,
                 const std::string& store) {
  const std::string ip = Ip(index + 1);
  const std::string path = folder + "/node-" + std::to_string(index);
  std::ofstream file(path + ".conf");
  file << "self.node=front-" << index << "\nself.role=entry\n"
       << "self.machineClass=front\nself.serves=front,directory\nself.ip=" << ip
       << "\nself.zone=" << ZoneOf(index) << "\nself.region=" << RegionOf(index)
       << "\nself.inTolerance=false\nself.bootstrap=true\n"
       << "self.limits.cpuShare=0.2\nself.limits.cores=1\n"
       << "self.limits.memoryMb=260\nself.limits.maxFds=4100\n"
       << "self.limits.linkMbps=1000.0\nself.limits.diskMb=0\n"
       << "network.listen.front=" << ip << ":8389\nnetwork.listen.ready=" << ip
       << ":8384\nnetwork.listen.directory=" << ip
       << ":8385\nnetwork.portRange=7460,7475\nnetwork.seeds=\n";
  for (int zone = 0; zone < 4; ++zone) {
    file << "network.zones." << ZoneOf(zone) << "=" << RegionOf(zone) << "\n";
  }
  file << "platform.discovery=platform\nplatform.entry=directory\n"
       << "platform.heartbeat=1500ms\nplatform.platform.address=" << store
       << "\nplatform.platform.form=objects\n"
       << "platform.platform.writesPerS=400\nplatform.platform.readsPerS=2000\n"
       << "platform.platform.history=20s\n"
       << "platform.platform.valueBytes=1048576\n"
       << "terms.contracts=base,drain,config,cost,retry,recover,places,tenants,"
          "quota,platform\n"
       << "terms.bounds.seedLag=3s\nterms.bounds.addrReuse=2s\n"
       << "terms.bounds.contact=3000ms\nterms.bounds.ack=4000ms\n"
       << "terms.bounds.catchUp=4s\nterms.bounds.drain=2000ms\n"
       << "terms.bounds.grace=6s\nterms.bounds.lossSlack=200ms\n"
       << "terms.bounds.configApply=2000ms\nterms.bounds.downgradeSlack=250ms\n"
       << "terms.bounds.maxStretch=5000ms\nterms.bounds.strictRevoke=false\n"
       << "terms.bounds.revoke=5000ms\nterms.bounds.retryRatio=0.2\n"
       << "terms.bounds.retryWindow=10s\nterms.bounds.retrySlack=62\n"
       << "terms.bounds.quotaWindow=5s\nterms.bounds.quotaOverage=0.1\n"
       << "terms.bounds.quotaSlack=20\nterms.bounds.warmupOverage=1.5\n"
       << "terms.bounds.warmupSlack=5\nterms.bounds.evacuate=5000ms\n"
       << "terms.bounds.recovery=15s\nterms.bounds.ttl_max=5s\n"
       << "terms.bounds.maxShift=0.15\n";
  file.close();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("REDWINGCART_NODE_FILE", (path + ".conf").c_str(), 1);
    if (std::freopen((path + ".log").c_str(), "w", stdout) == nullptr ||
        std::freopen((path + ".err").c_str(), "w", stderr) == nullptr) {
      _exit(2);
    }
    execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
    _exit(2);
  }
  return child;
}

std::string Manifest(int version, bool with_second_tenant) {
  const std::string second =
      with_second_tenant ? R"(,["two",["key-two-abcdefgh"],0,0,0,null])" : "";
  return R"({"version":"r)" + std::to_string(version) + R"(",
"routes":{"columns":["name","host","pathPrefix","kind","timeout",
"targetLatency","priority","trafficSplit","maxAttempts","public","sticky",
"homeRegions","service"],"rows":[["r-look","shop.example","/look/","safe",
"1500ms","500ms",1,null,2,false,false,null,"svc"],
["r-file","shop.example","/file/","unsafe",
"4s","2s",1,null,2,false,false,null,"svc"]]},
"services":{"columns":["name","healthPath","maxConns","protocol","tls",
"warmup","warmupPerS"],"rows":[["svc","/health",360,"h1",false,"3s",5.6]]},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,
"headerTimeout":"3000ms","idleTimeout":"15000ms"},
"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst",
"homeRegions"],"rows":[["one",["key-one-abcdefgh"],0,0,0,null])" +
         second + "]}}";
}

// ---- Clients ----

constexpr int kRegions = 2;

std::mutex addresses_mutex;
std::vector<std::string> addresses[kRegions];
std::atomic<bool> stopped = false;

// Asks the directory for the clients of each region.
void Resolve() {
  for (int turn = 0; !stopped; ++turn) {
    for (int region = 0; region < kRegions; ++region) {
      Message answer;
      const std::string directory = Ip(1 + region * 2 + turn % 2);
      const int status =
          Call(directory + ":8385",
               "GET /resolve?name=shop.example&region=region-" +
                   std::to_string(region) + "&zone=" + ZoneOf(region * 2) +
                   " HTTP/1.1\r\nHost: d\r\n\r\n",
               1, &answer);
      std::vector<std::string> found;
      for (size_t i = 0; status == 200;) {
        const size_t begin = answer.body.find("\"127.", i);
        if (begin == std::string::npos) {
          break;
        }
        const size_t end = answer.body.find('"', begin + 1);
        found.push_back(answer.body.substr(begin + 1, end - begin - 1));
        i = end + 1;
      }
      if (!found.empty()) {
        const std::lock_guard<std::mutex> lock(addresses_mutex);
        addresses[region] = found;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  }
}

std::atomic<int> answered_ok = 0;
std::atomic<int> answered_other = 0;

void SendOne(int number) {
  std::string to;
  {
    const std::lock_guard<std::mutex> lock(addresses_mutex);
    const std::vector<std::string>& known = addresses[number % kRegions];
    if (known.empty()) {
      return;
    }
    to = known[static_cast<size_t>(number / kRegions) % known.size()];
  }
  // Some clients are the second tenant's.
  const bool second = number % 6 >= 4;
  char id[32];
  std::snprintf(id, sizeof(id), "c%015d", number);
  {
    const std::lock_guard<std::mutex> lock(record_mutex);
    sent_at[id] = Now();
    sent_to[id] = to;
  }
  Note(std::string("client ") + id + (second ? " (two)" : " (one)") +
       " sends to " + to);
  Message answer;
  const int status = Call(
      to,
      "GET /look/" + std::to_string(number) +
          " HTTP/1.1\r\nHost: shop.example\r\n"
          "X-Redwingcart-Request-Id: " +
          id +
          "\r\nX-Redwingcart-Affinity-Key: " + std::to_string(number % 97) +
          "\r\nX-Redwingcart-Deadline-Ms: 1500\r\n"
          "Authorization: Bearer " +
          (second ? "key-two-abcdefgh" : "key-one-abcdefgh") +
          "\r\nConnection: close\r\n\r\n",
      2, &answer);
  ++(status == 200 ? answered_ok : answered_other);
  Note(std::string("client ") + id + " is answered " + std::to_string(status));
}

constexpr size_t kUploadBytes = 100'000;
constexpr double kLeaveAfter = 0.3;

// Uploads a body longer than what an entry reads ahead. A client that leaves
// closes its connection kLeaveAfter seconds after it was opened.
void Upload(int number, bool leaves) {
  std::string to;
  {
    const std::lock_guard<std::mutex> lock(addresses_mutex);
    const std::vector<std::string>& known = addresses[number % kRegions];
    if (known.empty()) {
      return;
    }
    to = known[static_cast<size_t>(number / kRegions) % known.size()];
  }
  char id[32];
  std::snprintf(id, sizeof(id), "u%015d", number);
  {
    const std::lock_guard<std::mutex> lock(record_mutex);
    sent_at[id] = Now();
    sent_to[id] = to;
  }
  Note(std::string("client ") + id + " uploads to " + to);
  Message answer;
  const int status = Call(to,
                          "POST /file/" + std::to_string(number) +
                              " HTTP/1.1\r\nHost: shop.example\r\n"
                              "X-Redwingcart-Request-Id: " +
                              id +
                              "\r\nX-Redwingcart-Deadline-Ms: 4000\r\n"
                              "Authorization: Bearer key-one-abcdefgh\r\n"
                              "Content-Length: " +
                              std::to_string(kUploadBytes) + "\r\n\r\n" +
                              std::string(kUploadBytes, 'x'),
                          leaves ? kLeaveAfter : 5, &answer);
  if (status == 0) {
    const std::lock_guard<std::mutex> lock(record_mutex);
    left_at[id] = Now();
  }
  ++(status == 200 ? answered_ok : answered_other);
  Note(std::string("client ") + id +
       (status == 0 ? " leaves" : " is answered " + std::to_string(status)));
}

// Sends `rate` requests a second until `end`.
void Traffic(double rate, double end, std::function<void(int)> send) {
  constexpr int kWorkers = 256;
  const double begin = Now();
  std::vector<std::thread> workers;
  for (int worker = 0; worker < kWorkers; ++worker) {
    workers.emplace_back([worker, rate, begin, end, send]() {
      for (int number = worker; begin + number / rate < end;
           number += kWorkers) {
        SleepUntil(begin + number / rate);
        send(number);
      }
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
}

// Largest number of requests that were sent and arrived inside one second at a
// server while it was cold.
size_t MostInSecond(const std::string& server, int start) {
  std::vector<Arrival> cold;
  for (const Arrival& arrival : arrivals) {
    if (arrival.server == server && arrival.start == start && arrival.cold) {
      cold.push_back(arrival);
    }
  }
  size_t most = 0;
  for (const Arrival& first : cold) {
    size_t count = 0;
    for (const Arrival& other : cold) {
      count += other.sent >= first.sent && other.at < first.sent + 1 ? 1 : 0;
    }
    most = std::max(most, count);
  }
  return most;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  const std::string name = argv[1];
  const bool readers = name == "refused-readers";
  const bool uploads = name == "uploads";
  if (name != "earlier-start" && name != "late-ready" && !readers && !uploads) {
    return 2;
  }
  entries = readers ? kMostEntries : entries;
  const bool trouble = std::string(argv[2]) != "0";
  const std::string program = argv[3];
  const std::string folder = argv[4];
  const int process = getpid();
  network = "127." + std::to_string(100 + process / 250 % 100) + "." +
            std::to_string(process % 250);
  Store store(Ip(250));
  store.Put("config", "main", Manifest(1, true));
  std::vector<Server*> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(new Server(store, "i-server" + std::to_string(i),
                                 Ip(100 + i), ZoneOf(i), uploads ? 0.5 : 0.02));
    servers.back()->Start(false);
  }
  std::vector<pid_t> children;
  for (int i = 0; i < entries; ++i) {
    children.push_back(StartEntry(i, program, folder, store.address()));
  }
  const auto end_children = [&children]() {
    for (const pid_t child : children) {
      kill(child, SIGTERM);
    }
    for (const pid_t child : children) {
      for (int i = 0; i < 80 && waitpid(child, nullptr, WNOHANG) == 0; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
      }
      kill(child, SIGKILL);
      waitpid(child, nullptr, 0);
    }
  };
  bool ready = false;
  for (int i = 0; i < 200 && !ready; ++i) {
    ready = true;
    for (int entry = 0; entry < entries; ++entry) {
      Message answer;
      ready = ready &&
              Call(Ip(entry + 1) + ":8384",
                   "GET /ready HTTP/1.1\r\nHost: r\r\n\r\n", 1, &answer) == 200;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  if (!ready) {
    std::fprintf(stderr, "the entries are not ready\n");
    end_children();
    return 2;
  }
  std::thread resolver(Resolve);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const double begin = Now();
  std::thread traffic;
  if (!uploads) {
    traffic = std::thread(Traffic, kRate, begin + 20, SendOne);
  }
  Server& server = *servers[0];
  std::set<std::string> refused;
  double acknowledged = 0;
  int broken = 0;
  if (name == "earlier-start") {
    // A check-in of the server's former start is carried out late.
    SleepUntil(begin + 5);
    server.HoldNextCheckIn(trouble);
    SleepUntil(server.held_at() + 1);
    server.Crash();
    SleepUntil(server.held_at() + 1.5);
    server.Start(true);
    SleepUntil(server.held_at() + 1.5 + kHeartbeat + 0.1);
    server.CarryOut(trouble);
  } else if (name == "late-ready") {
    SleepUntil(begin + 5);
    server.HoldNextCheckIn(trouble);
    // The store has been stable for `contact` when it acknowledges the leaving.
    SleepUntil(server.held_at() + 3.2);
    server.Drain();
    SleepUntil(server.held_at() + 4.8);
    server.CarryOut(trouble);
  } else if (uploads) {
    // Servers are busy, then many users come at once, of whom some leave.
    Traffic(kUploadRate, begin + 8, [](int number) { Upload(number, false); });
    Note("many users come at once");
    Traffic(kUploadRate * 1.7, Now() + 3, [trouble](int number) {
      Upload(1'000'000 + number, trouble && number % 10 < 3);
    });
  } else {
    SleepUntil(begin + 6);
    if (trouble) {
      refused = store.RefuseReaders(entries / 3);
      for (const std::string& machine : refused) {
        Note("the store turns " + machine + " away from now on");
      }
    }
    SleepUntil(begin + 6.5);
    store.Put("config", "main", Manifest(2, false));
    acknowledged = Now();
    Note("the store acknowledges r2, which has no tenant \"two\"");
    SleepUntil(begin + 15);
    store.RefuseNobody();
    Note("the store turns nobody away");
  }
  if (traffic.joinable()) {
    traffic.join();
  }
  stopped = true;
  resolver.join();
  end_children();
  const std::lock_guard<std::mutex> lock(record_mutex);
  for (const std::string& line : record) {
    std::printf("%s\n", line.c_str());
  }
  for (const Arrival& arrival : arrivals) {
    std::printf("%9.3f %s arrives at %s for %s, start %d%s%s\n", arrival.at,
                arrival.id.c_str(), arrival.server.c_str(),
                arrival.tenant.c_str(), arrival.start,
                arrival.cold ? ", cold" : "", arrival.run ? "" : ", not run");
  }
  std::printf("answered 200: %d, otherwise: %d, arrivals: %zu\n",
              answered_ok.load(), answered_other.load(), arrivals.size());
  if (name == "late-ready") {
    size_t late = 0;
    for (const Arrival& arrival : arrivals) {
      late += arrival.server == server.id() &&
                      arrival.sent > server.drained_at() + kDrain
                  ? 1
                  : 0;
    }
    std::printf("requests sent and arrived later than 2 s after the ack: %zu\n",
                late);
    broken = late > 0 ? 1 : 0;
  } else if (readers) {
    size_t late = 0;
    size_t latest = 0;
    for (const Arrival& arrival : arrivals) {
      const std::string& to = sent_to[arrival.id];
      const bool counts = arrival.run && arrival.tenant == "two" &&
                          refused.count(to.substr(0, to.find(':'))) == 0;
      late += counts && arrival.sent > acknowledged + kConfigApply ? 1 : 0;
      latest +=
          counts && arrival.sent > acknowledged + kConfigApply + kMaxStretch
              ? 1
              : 0;
    }
    std::printf(
        "run with the dropped key, by machines that are not turned away: "
        "%zu sent later than 2 s after the ack, %zu later than 7 s\n",
        late, latest);
    broken = latest > 0 ? 1 : 0;
  } else if (uploads) {
    size_t late = 0;
    for (const Arrival& arrival : arrivals) {
      const auto left = left_at.find(arrival.id);
      late += left != left_at.end() && arrival.run &&
                      arrival.at > left->second + 0.5
                  ? 1
                  : 0;
    }
    std::printf(
        "clients that left: %zu; requests run that arrived later than "
        "0.5 s after that: %zu\n",
        left_at.size(), late);
    broken = late > kAFew ? 1 : 0;
  } else {
    const size_t most = MostInSecond(server.id(), 2);
    std::printf("most requests in a second while cold: %zu, allowed %.1f\n",
                most, kAllowedWhileCold);
    broken = static_cast<double>(most) > kAllowedWhileCold ? 1 : 0;
  }
  std::printf(broken ? "broken\n" : "held\n");
  std::fflush(stdout);
  // Threads of connections still run.
  _exit(broken);
}
