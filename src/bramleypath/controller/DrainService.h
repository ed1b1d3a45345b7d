#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include <gsl/span>

#include "bramleypath/base/Ids.h"
#include "bramleypath/controller/Answer.h"
#include "bramleypath/gateway/Environment.h"
#include "bramleypath/workflow/Types.h"

namespace bramleypath::controller {

// Kinds of the frames between the hosts of a group.
constexpr const char* kDrainCallKind = "drain-call";
constexpr const char* kDrainAnswerKind = "drain-answer";

// How long after its receipt an order may be carried out. Its operator sends it
// again after one second, and another order may follow that; see
// kLongestUnnoticedPause.
constexpr Duration kOrderLifetime = Millis(550);
// How long after its receipt an order is answered at the latest. The rest of
// the second is for a redirect to the leader.
constexpr Duration kOrderAnswerTime = Millis(750);

// Whether the leader has heard of a data centre. A new leader hears from the
// other hosts only after a while.
enum class Knowledge : std::uint8_t { Known, NotYetKnown, Unknown };

// What the service uses of its host.
struct DrainEnvironment {
  gateway::Environment host;
  // Whether this host leads with a lease.
  std::function<bool()> mayRead;
  // The term in which this host leads; 0: it does not.
  std::function<Epoch()> epoch;
  std::function<Knowledge(const DataCentreId&)> knowledge;
  // Proposes the change as the leader.
  std::function<void(const workflow::SetDrain&, AnswerCallback)> propose;
};

// Sets and ends drains on any host of a group. A host that does not lead asks
// the leader over its link.
//
// An order must not be carried out after its operator has given it up, since
// the operator may have sent it again and then the opposite order. Each order
// therefore has a deadline. The leader returns a stamp of its clock, and the
// order then carries that stamp and the time that was left when it came, so
// that the leader can tell whether it is late without comparing the clocks of
// two hosts. The stamp holds the leader's term, so that no other leadership
// carries the order out.
class DrainService {
 public:
  // aFirstId is random, so that answers to an earlier process are ignored.
  DrainService(DrainEnvironment aEnvironment, std::uint64_t aFirstId);
  ~DrainService();
  DrainService(const DrainService&) = delete;
  DrainService& operator=(const DrainService&) = delete;

  // Calls the callback once, possibly before it returns: Done or Repeated once
  // the drain is committed as ordered, Unknown for an unknown data centre,
  // NotLeader if no leader has answered in time.
  void Set(const workflow::SetDrain& aOrder, TimePoint aReceivedAt,
           AnswerCallback aCallback);

  void OnCall(const HostId& aFrom, gsl::span<const std::uint8_t> aPayload);
  void OnAnswer(const HostId& aFrom, gsl::span<const std::uint8_t> aPayload);

 private:
  // A time on the clock of the leader of that term.
  struct Stamp {
    Epoch epoch = 0;
    TimePoint at;
  };
  struct PendingOrder {
    workflow::SetDrain order;
    AnswerCallback callback;
    TimePoint deadline;  // it is sent to no leader after that
    TimePoint answerBy;
    HostId sentTo;  // empty: no leader was known
    // Of the leader it was sent to, and how long after that time the order may
    // be carried out; none: not received yet.
    std::optional<Stamp> stamp;
    Duration stampValidFor;
    // Never while this host commits the order as the leader.
    TimePoint resendAt;
  };
  // An order of another host that this leader has carried out or is committing.
  struct ReceivedOrder {
    std::optional<Answer> answer;
    TimePoint forgetAt;
  };
  using OrderKey = std::pair<HostId, std::uint64_t>;
  struct Call;
  struct Reply;

  void Attempt(std::uint64_t aId);
  void Send(std::uint64_t aId, PendingOrder& aOrder);
  void OnOutcome(std::uint64_t aId, const Answer& aAnswer);
  void End(std::uint64_t aId, const Answer& aAnswer);
  void Poll();
  void ArmPoll();
  // On the leader.
  void CarryOut(const workflow::SetDrain& aOrder, AnswerCallback aCallback);
  void OnOrder(const HostId& aFrom, const Call& aCall);
  void ForgetOldOrders();
  void SendReply(const HostId& aTo, const Reply& aReply);

  static std::vector<std::uint8_t> Encode(const Call& aCall);
  static std::optional<Call> DecodeCall(gsl::span<const std::uint8_t> aBytes);
  static std::vector<std::uint8_t> Encode(const Reply& aReply);
  static std::optional<Reply> DecodeReply(gsl::span<const std::uint8_t> aBytes);

  DrainEnvironment environment;
  std::uint64_t nextId;
  std::map<std::uint64_t, PendingOrder> pending;
  std::map<OrderKey, ReceivedOrder> received;
  Epoch receivedEpoch = 0;  // in which they were received
  bool pollArmed = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace bramleypath::controller
