#ifndef REDWING_ROUTING_INTERNAL_TARGET_POOLS_H_
#define REDWING_ROUTING_INTERNAL_TARGET_POOLS_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "routing/internal/target_pool.h"

namespace redwing {

class SteeringDocument;
struct TargetStatus;

// Pools of this instance's region, by service.
using TargetPools = std::map<std::string, TargetPool, std::less<>>;

// Returns the state of a target; null if it is not of this region.
TargetPool::StatePtr Find(const TargetPools& pools, const Target& target);
TargetPool::StatePtr Find(const TargetPools& pools, const TargetStart& target);
// Returns the report of a target for which `waiting` requests wait here.
TargetLoadReport ReportOf(const TargetState& state, int waiting, TimePoint now);
// Returns the addresses of the targets that are not closed.
std::vector<boost::asio::ip::tcp::endpoint> OpenEndpoints(
    const TargetPools& pools);
std::vector<TargetPool::StatePtr> AllStates(const TargetPools& pools);
// Returns the load of the usable targets in permille of their slots, from 0 to
// 1000.
uint16_t LoadPermille(const TargetPools& pools, TimePoint now);
std::vector<TargetStatus> StatusOf(const TargetPools& pools, TimePoint now);
// Closes the targets of services that the document no longer contains.
void CloseRemovedServices(const SteeringDocument& document,
                          TimePoint now,
                          TargetPools* pools);

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_TARGET_POOLS_H_
