#ifndef REDWING_ADMIN_INTERNAL_ADMIN_HANDLER_H_
#define REDWING_ADMIN_INTERNAL_ADMIN_HANDLER_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "admin/fleet_view.h"
#include "admin/internal/document_editor.h"
#include "admin/operator_directory.h"
#include "admin/state_editor.h"
#include "framework/http/http_handler.h"
#include "framework/http/url.h"

namespace redwing {

class Metrics;

// The administration API. Keeps nothing: everything is read from and written
// to the store, or asked of the fleet.
class AdminHandler : public HttpHandler {
 public:
  AdminHandler(Metrics& metrics,
               StateEditor editor,
               OperatorDirectory operators,
               FleetView fleet);

  void Handle(HttpExchange& exchange, const Yield& yield) override;

 private:
  // A call of an authenticated operator.
  struct Call {
    const Url& url;
    std::string method;
    // Path segments after "/v1/".
    std::vector<std::string> segments;
    Operator caller;
    nlohmann::json body;
  };
  using Answer = Result<nlohmann::json>;
  using Method = Answer (AdminHandler::*)(const Call&, const Yield&);
  struct Route {
    std::string_view method;
    // Segments; "*" stands for any.
    std::vector<std::string_view> pattern;
    Method handler;
  };
  static const std::vector<Route>& Routes();

  bool HandlePlain(HttpExchange& exchange, const Url& url, const Yield& yield);
  Answer Dispatch(HttpExchange& exchange, const Url& url, const Yield& yield);

  Answer ListSections(const Call& call, const Yield& yield);
  Answer GetSection(const Call& call, const Yield& yield);
  Answer PutSection(const Call& call, const Yield& yield);
  Answer ValidateSection(const Call& call, const Yield& yield);
  Answer SectionHistory(const Call& call, const Yield& yield);
  Answer RollBack(const Call& call, const Yield& yield);
  Answer IssueKey(const Call& call, const Yield& yield);
  Answer WithdrawKey(const Call& call, const Yield& yield);
  Answer GetDrains(const Call& call, const Yield& yield);
  Answer ChangeDrains(const Call& call, const Yield& yield);
  Answer RequestDecisions(const Call& call, const Yield& yield);
  Answer FleetStatus(const Call& call, const Yield& yield);
  Answer Audit(const Call& call, const Yield& yield);
  Answer VerifyAudit(const Call& call, const Yield& yield);

  Result<std::vector<AuditRecord>> AllRecords(const Yield& yield);

  Metrics& metrics_;
  StateEditor editor_;
  OperatorDirectory operators_;
  FleetView fleet_;
  DocumentEditor document_;
};

}  // namespace redwing

#endif  // REDWING_ADMIN_INTERNAL_ADMIN_HANDLER_H_
