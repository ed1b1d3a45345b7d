#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include <gsl/span>

#include "bramleypath/controller/Answer.h"
#include "bramleypath/gateway/Environment.h"
#include "bramleypath/workflow/Types.h"

namespace bramleypath::controller {

// Kinds of the frames between the hosts of a group.
constexpr const char* kLayoutCallKind = "layout-call";
constexpr const char* kLayoutAnswerKind = "layout-answer";

// The configuration as it was sent. The answer is Done if there is one and
// Unknown if there is none yet.
struct LayoutAnswer {
  Answer answer;
  std::uint64_t version = 0;
  std::string document;
};

using ReadLayoutCallback = std::function<void(const LayoutAnswer&)>;

// What the service uses of its host.
struct LayoutEnvironment {
  gateway::Environment host;
  // Whether this host leads with a lease, so that its state includes every
  // change that has been acknowledged to anyone.
  std::function<bool()> mayRead;
  // The configuration that this host has applied; null: none.
  std::function<const workflow::Layout*()> layout;
  // Proposes an encoded workflow::SetLayout of the given version as the leader.
  std::function<void(std::uint64_t aVersion, gateway::Bytes aCommand,
                     AnswerCallback)>
      propose;
};

namespace detail {

// A change that is to be committed.
struct LayoutChange {
  std::uint64_t version = 0;
  gateway::Bytes command;
  AnswerCallback callback;
};

}  // namespace detail

// Changes and reads the replicated configuration on any host of a group. A host
// that does not lead asks the leader over its link, so that a call neither
// waits for a new connection to the leader nor behind the calls of clients. It
// asks again after a change of leader and when no answer comes.
class LayoutService {
 public:
  // aFirstId is random, so that answers to an earlier process are ignored.
  LayoutService(LayoutEnvironment aEnvironment, std::uint64_t aFirstId);
  ~LayoutService();
  LayoutService(const LayoutService&) = delete;
  LayoutService& operator=(const LayoutService&) = delete;

  // The callbacks are called once, possibly before the function returns. With
  // NotLeader the leader has not answered in time; it may have carried the
  // change out.
  void Set(const workflow::Layout& aLayout, AnswerCallback aCallback);
  void Read(ReadLayoutCallback aCallback);

  void OnCall(const HostId& aFrom, gsl::span<const std::uint8_t> aPayload);
  void OnAnswer(gsl::span<const std::uint8_t> aPayload);

 private:
  using Request = std::variant<detail::LayoutChange, ReadLayoutCallback>;

  struct PendingCall {
    Request request;
    TimePoint deadline;
    HostId sentTo;  // empty: no leader was known
    // Never while this host commits the change as the leader.
    TimePoint resendAt;
  };

  void Start(Request aRequest);
  void Attempt(std::uint64_t aId);
  void OnOutcome(std::uint64_t aId, const LayoutAnswer& aAnswer);
  void SendCall(std::uint64_t aId, PendingCall& aCall, const HostId& aLeader);
  void Poll();
  void ArmPoll();
  void End(std::uint64_t aId, const LayoutAnswer& aAnswer);
  // On the leader.
  void ApplyChange(std::uint64_t aVersion, gateway::Bytes aCommand,
                   AnswerCallback aCallback);
  LayoutAnswer ReadLocally() const;

  LayoutEnvironment environment;
  std::uint64_t nextId;
  std::map<std::uint64_t, PendingCall> pending;
  bool pollArmed = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace bramleypath::controller
