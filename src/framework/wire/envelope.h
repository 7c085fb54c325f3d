#ifndef REDWING_FRAMEWORK_WIRE_ENVELOPE_H_
#define REDWING_FRAMEWORK_WIRE_ENVELOPE_H_

#include <cstdint>
#include <string>

namespace redwing {

// Kinds of messages between instances. Values are part of the protocol.
enum class MessageKind : uint8_t {
  kHeartbeat = 1,
  kWithdrawal = 2,
  kWithdrawalAck = 3,
  kLeaseRequest = 4,
  kLeaseGrant = 5,
  kLeaseReturn = 6,
  kStatePull = 7,
  kStateReply = 8,
  kTokenRequest = 9,
  kTokenGrant = 10,
};

// A message with its sender. `sequence` grows with each message of one
// incarnation, so that receivers drop what arrives twice.
struct Envelope {
  std::string sender;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  MessageKind kind = MessageKind::kHeartbeat;
  std::string payload;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_WIRE_ENVELOPE_H_
