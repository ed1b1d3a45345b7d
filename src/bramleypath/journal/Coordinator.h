#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/config/Types.h"
#include "bramleypath/journal/State.h"
#include "bramleypath/journal/Types.h"

namespace bramleypath::journal {

// The coordinator runs on the leader of the cell group that owns the key. It
// turns requests of entry hosts into proposals, and outcomes into replies. Its
// state need not survive a crash: an entry host that gets no reply repeats its
// request to the next leader with the same holder, and gets the same grant.

// Chosen by the entry host, which uses it to match replies to requests.
using CoordinatorRequestId = std::uint64_t;
using ProposalToken = std::uint64_t;

// Events: inputs of Step.

// A Reserve, Dispatch, Answer or Release of an entry host.
struct CoordinatorRequest {
  HostId from;
  CoordinatorRequestId id = 0;
  Command command;
  // For Reserve: how long to wait while another holder runs the request. The
  // entry host derives it from the call's deadline.
  Duration wait;
  // The generation of the key owners that the entry host used to find this
  // owner; see KeyOwner::generation.
  std::uint64_t generation = 0;
};
// A proposal of this coordinator was committed and applied.
struct Committed {
  ProposalToken token = 0;
  Outcome outcome;
};
// A proposal of this coordinator was refused, or may have been lost.
struct ProposalFailed {
  ProposalToken token = 0;
};
struct GainedLeadership {};
struct LostLeadership {};
struct CoordinatorTick {};
// The key owners in force on this host, and the data centre of this host. A
// Reserve or Dispatch that was sent under another generation of the owners is
// refused.
struct OwnersInForce {
  config::KeyOwners owners;
  DataCentreId self;
};

using CoordinatorEvent =
    std::variant<CoordinatorRequest, Committed, ProposalFailed,
                 GainedLeadership, LostLeadership, CoordinatorTick,
                 OwnersInForce>;

// Actions: outputs of Step.

struct ProposeCommand {
  ProposalToken token = 0;
  Command command;
};

enum class ReplyCode : std::uint8_t {
  // The command was applied, or the request is answered already; see
  // Reply::outcome.
  Applied,
  // This replica doesn't lead, so the request must go to the leader. It is
  // unknown whether the command was applied.
  NotLeader,
  // The generation of the key owners differs, or this data centre doesn't own
  // the key. The command was not applied.
  NotOwner,
  // The key is moving to another owner and has no stored answer. The command
  // was not applied.
  Moving,
  // Too many requests are pending on this coordinator. The command was not
  // applied.
  Busy,
  // Another holder runs the request and did not answer it within the wait, so
  // the outcome of the repeated request is unknown.
  WaitEnded,
};

const char* ToString(ReplyCode aCode);

struct Reply {
  HostId to;
  CoordinatorRequestId id = 0;
  ReplyCode code = ReplyCode::Applied;
  Outcome outcome;
};

using CoordinatorAction = std::variant<ProposeCommand, Reply>;
using CoordinatorActions = std::vector<CoordinatorAction>;

struct CoordinatorSettings {
  // Bounds the sum of proposed and waiting requests.
  std::size_t maxPendingRequests = 4096;
  // Bounds the expiries that are proposed at one tick.
  std::size_t expiriesPerTick = 64;
};

struct PendingRequest {
  CoordinatorRequest request;
  TimePoint waitUntil;
};

struct Coordinator {
  CoordinatorSettings settings;
  bool leading = false;
  config::KeyOwners owners;
  DataCentreId self;
  ProposalToken lastToken = 0;
  // Proposed but not committed yet.
  std::map<ProposalToken, PendingRequest> proposed;
  std::map<ProposalToken, Expire> expiring;
  // Repeated requests that wait for the holder that runs them, per key and
  // oldest first.
  std::map<RequestKey, std::vector<PendingRequest>> waiting;
  std::size_t waitingCount = 0;
};

// Handles one event and returns the actions to take. aState is this replica's
// journal, to which committed proposals are applied.
CoordinatorActions Step(Coordinator& aCoordinator, const JournalState& aState,
                        const CoordinatorEvent& aEvent, TimePoint aNow);

}  // namespace bramleypath::journal
