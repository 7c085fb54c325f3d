// redwing-ctl: an operator's command line.

#include <fmt/format.h>

#include <chrono>
#include <cstdlib>
#include <functional>
#include <thread>

#include "apps/program_options.h"
#include "ctl/admin_client.h"
#include "ctl/decision_list.h"
#include "ctl/status_table.h"
#include "ctl/text_diff.h"
#include "framework/http/url.h"
#include "framework/settings/endpoint.h"
#include "steering/section_parser.h"
#include "steering/steering_document.h"

namespace redwing {

namespace {

using nlohmann::json;

constexpr int kIndent = 2;
constexpr std::chrono::seconds kWatchInterval{1};

// Values of all options; each command uses some.
struct Arguments {
  std::string admin;
  std::string key;
  std::string section;
  std::string file;
  std::string kind;
  std::string name;
  std::string workspace;
  std::string operator_name;
  std::vector<std::string> sections;
  std::string who;
  std::string entry;
  int64_t from_revision = -1;
  uint64_t to_revision = 0;
  bool force = false;
  bool as_json = false;
  bool verify = false;
};

// The commands of redwing-ctl. Each returns an exit code.
class Commands {
 public:
  explicit Commands(const Arguments& arguments) : arguments_(arguments) {}

  int Validate() const;
  int Sections() const;
  int Get() const;
  int Diff() const;
  int Apply() const;
  int History() const;
  int RollBack() const;
  int IssueKey() const;
  int WithdrawKey() const;
  int Drain() const { return ChangeDrain(true); }
  int Undrain() const { return ChangeDrain(false); }
  int Status() const;
  int Watch() const;
  int Explain() const;
  int Audit() const;

 private:
  AdminClient Client() const;
  int Print(const Result<json>& answer) const;
  int Fail(const Failure& failure) const;
  int ChangeDrain(bool drained) const;
  std::string SectionTarget(std::string_view suffix = "") const;
  Result<json> LoadBody() const;

  const Arguments& arguments_;
};

int Commands::Validate() const {
  const Result<JsonSource> source = JsonSource::Load(arguments_.file);
  if (!source) {
    fmt::print(stderr, "{}\n", source.error().detail);
    return kExitBadSettings;
  }
  const Result<std::vector<Section>> sections = ParseSections(source.value());
  if (!sections) {
    fmt::print(stderr, "{}\n", sections.error().detail);
    return kExitBadSettings;
  }
  const std::vector<std::string> problems =
      FindDocumentProblems(sections.value());
  for (const std::string& problem : problems) {
    fmt::print(stderr, "{}\n", problem);
  }
  if (!problems.empty()) {
    return kExitBadSettings;
  }
  fmt::print("{}: the document is valid, {} sections\n", arguments_.file,
             sections.value().size());
  return kExitOk;
}

int Commands::Sections() const {
  return Print(Client().Call(http::verb::get, "/v1/sections"));
}

int Commands::Get() const {
  return Print(Client().Call(http::verb::get, SectionTarget()));
}

int Commands::Diff() const {
  const Result<json> body = LoadBody();
  if (!body) {
    return Fail(body.error());
  }
  const Result<json> current = Client().Call(http::verb::get, SectionTarget());
  if (!current) {
    return Fail(current.error());
  }
  fmt::print("{}", TextDiff(current.value().at("body").dump(kIndent) + "\n",
                            body.value().dump(kIndent) + "\n"));
  return kExitOk;
}

int Commands::Apply() const {
  const Result<json> body = LoadBody();
  if (!body) {
    return Fail(body.error());
  }
  return Print(Client().Call(http::verb::put, SectionTarget(),
                             {{"from_revision", arguments_.from_revision},
                              {"force", arguments_.force},
                              {"body", body.value()}}));
}

int Commands::History() const {
  return Print(Client().Call(http::verb::get, SectionTarget("/history")));
}

int Commands::RollBack() const {
  return Print(Client().Call(http::verb::post, SectionTarget("/rollback"),
                             {{"from_revision", arguments_.from_revision},
                              {"to_revision", arguments_.to_revision},
                              {"force", arguments_.force}}));
}

int Commands::IssueKey() const {
  json body = json::object();
  if (!arguments_.workspace.empty()) {
    body["workspace"] = arguments_.workspace;
  }
  if (!arguments_.operator_name.empty()) {
    body["operator"] = arguments_.operator_name;
    body["sections"] = arguments_.sections;
  }
  return Print(Client().Call(http::verb::post, "/v1/keys", body));
}

int Commands::WithdrawKey() const {
  return Print(Client().Call(http::verb::delete_,
                             "/v1/keys/" + PercentEncode(arguments_.name)));
}

int Commands::Status() const {
  const Result<json> status = Client().Call(http::verb::get, "/v1/status");
  if (!status || arguments_.as_json) {
    return Print(status);
  }
  fmt::print("{}", StatusTable(status.value()));
  return kExitOk;
}

int Commands::Watch() const {
  while (true) {
    const int code = Status();
    if (code != kExitOk) {
      return code;
    }
    fmt::print("\n");
    std::fflush(stdout);
    std::this_thread::sleep_for(kWatchInterval);
  }
}

int Commands::Explain() const {
  const Result<json> answer =
      Client().Call(http::verb::get,
                    "/v1/decisions?request=" + PercentEncode(arguments_.name));
  if (!answer || arguments_.as_json) {
    return Print(answer);
  }
  fmt::print("{}", DecisionList(answer.value()));
  return kExitOk;
}

int Commands::Audit() const {
  if (arguments_.verify) {
    const Result<json> answer =
        Client().Call(http::verb::get, "/v1/audit/verify");
    const int code = Print(answer);
    return answer && !answer.value().at("problems").empty() ? kExitFailed
                                                            : code;
  }
  std::string target = "/v1/audit?";
  if (!arguments_.entry.empty()) {
    target += "entry=" + PercentEncode(arguments_.entry) + "&";
  }
  if (!arguments_.who.empty()) {
    target += "who=" + PercentEncode(arguments_.who);
  }
  return Print(Client().Call(http::verb::get, target));
}

AdminClient Commands::Client() const {
  return {TcpEndpoint(arguments_.admin), arguments_.key};
}

int Commands::Print(const Result<json>& answer) const {
  if (!answer) {
    return Fail(answer.error());
  }
  fmt::print("{}\n", answer.value().dump(kIndent));
  return kExitOk;
}

int Commands::Fail(const Failure& failure) const {
  fmt::print(stderr, "{} ({}): {}\n", ErrcName(failure.errc),
             VerdictName(failure.verdict), failure.detail);
  const bool invalid = failure.errc == Errc::kInvalidSettings ||
                       failure.errc == Errc::kInvalidDocument;
  return invalid ? kExitBadSettings : kExitFailed;
}

int Commands::ChangeDrain(bool drained) const {
  return Print(Client().Call(http::verb::post, "/v1/drains",
                             {{"kind", arguments_.kind},
                              {"name", arguments_.name},
                              {"drained", drained},
                              {"force", arguments_.force}}));
}

std::string Commands::SectionTarget(std::string_view suffix) const {
  return fmt::format("/v1/sections/{}{}", PercentEncode(arguments_.section),
                     suffix);
}

Result<json> Commands::LoadBody() const {
  const Result<JsonSource> source = JsonSource::Load(arguments_.file);
  if (!source) {
    return source.error();
  }
  const json& root = source.value().root();
  // The file may be a whole document; the section is taken out of it.
  if (root.contains("sections") &&
      root.at("sections").contains(arguments_.section)) {
    return root.at("sections").at(arguments_.section);
  }
  return root;
}

// Builds the command line. The chosen command runs as a callback.
class CommandLine {
 public:
  CommandLine() : app_("Operates a fleet by its administration API.") {
    AddCommonOptions(app_);
    app_.require_subcommand(1);
    app_.add_option("--admin", arguments_.admin,
                    "Address of a redwing-admin, such as 10.0.0.1:7002")
        ->envname("REDWING_ADMIN")
        ->check([](const std::string& text) {
          return ParseEndpoint(text) ? "" : "expected IP:PORT";
        });
    app_.add_option("--key", arguments_.key, "Operator's key")
        ->envname("REDWING_OPERATOR_KEY");
    AddSections();
    AddKeysAndDrains();
    AddViews();
  }

  int Run(int argc, char** argv) {
    int code = kExitOk;
    if (!ParseCommandLine(app_, argc, argv, &code)) {
      return code;
    }
    const bool needs_admin = chosen_ != &Commands::Validate;
    if (needs_admin && arguments_.admin.empty()) {
      fmt::print(stderr, "--admin is required\n");
      return kExitUsage;
    }
    return (Commands(arguments_).*chosen_)();
  }

 private:
  using Command = int (Commands::*)() const;

  CLI::App* Add(const std::string& name,
                const std::string& help,
                Command command) {
    CLI::App* const sub = app_.add_subcommand(name, help);
    sub->callback([this, command]() { chosen_ = command; });
    return sub;
  }

  void AddSection(CLI::App* sub) {
    sub->add_option("section", arguments_.section)->required();
  }
  void AddFile(CLI::App* sub) {
    sub->add_option("file", arguments_.file, "JSON with comments")->required();
  }
  void AddFromRevision(CLI::App* sub) {
    sub->add_option("--from-revision", arguments_.from_revision,
                    "Revision the edit started from; 0 for a new section")
        ->required()
        ->check(CLI::NonNegativeNumber);
    AddForce(sub);
  }
  void AddForce(CLI::App* sub) {
    sub->add_flag("--force", arguments_.force,
                  "Also when limits are exceeded or a service is stranded; "
                  "audited");
  }

  void AddSections() {
    AddFile(Add("validate", "Check a whole document", &Commands::Validate));
    Add("sections", "List the sections", &Commands::Sections);
    AddSection(Add("get", "Print a section", &Commands::Get));
    CLI::App* const diff =
        Add("diff", "Compare a section with a file", &Commands::Diff);
    AddSection(diff);
    AddFile(diff);
    CLI::App* const apply =
        Add("apply", "Replace a section by a file", &Commands::Apply);
    AddSection(apply);
    AddFile(apply);
    AddFromRevision(apply);
    AddSection(
        Add("history", "Print a section's audit records", &Commands::History));
    CLI::App* const rollback =
        Add("rollback", "Make an earlier revision the newest one",
            &Commands::RollBack);
    AddSection(rollback);
    rollback->add_option("--to", arguments_.to_revision)->required();
    AddFromRevision(rollback);
  }

  void AddKeysAndDrains() {
    CLI::App* const issue =
        Add("issue-key", "Issue a key; it is shown once", &Commands::IssueKey);
    issue->add_option("--workspace", arguments_.workspace);
    issue->add_option("--operator", arguments_.operator_name);
    issue->add_option("--sections", arguments_.sections,
                      "What an operator may edit; \"*\" for all");
    Add("withdraw-key", "Withdraw a key by its id", &Commands::WithdrawKey)
        ->add_option("key-id", arguments_.name)
        ->required();
    CLI::App* const drain =
        Add("drain", "Take something out of service", &Commands::Drain);
    CLI::App* const undrain =
        Add("undrain", "Put it back into service", &Commands::Undrain);
    for (CLI::App* const sub : {drain, undrain}) {
      sub->add_option("kind", arguments_.kind)
          ->required()
          ->check(CLI::IsMember(
              {"targets", "failure_domains", "regions", "instances"}));
      sub->add_option("name", arguments_.name)->required();
      AddForce(sub);
    }
  }

  void AddViews() {
    CLI::App* const status =
        Add("status", "Show what the fleet does", &Commands::Status);
    CLI::App* const watch =
        Add("watch", "Show it again every second", &Commands::Watch);
    CLI::App* const explain =
        Add("explain", "Show why a request was decided so, over all instances",
            &Commands::Explain);
    explain->add_option("request-id", arguments_.name)->required();
    for (CLI::App* const sub : {status, watch, explain}) {
      sub->add_flag("--json", arguments_.as_json);
    }
    CLI::App* const audit =
        Add("audit", "Read the audit trail", &Commands::Audit);
    audit->add_option("--entry", arguments_.entry, "Such as section.network");
    audit->add_option("--who", arguments_.who);
    audit->add_flag("--verify", arguments_.verify,
                    "Check that no record is missing or altered");
  }

  CLI::App app_;
  Arguments arguments_;
  Command chosen_ = nullptr;
};

int RunCommandLine(int argc, char** argv) {
  return CommandLine().Run(argc, argv);
}

}  // namespace

}  // namespace redwing

int main(int argc, char** argv) {
  return redwing::RunProgram("redwing-ctl", &redwing::RunCommandLine, argc,
                             argv);
}
