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

// Runs on the leader of the owner's cell group. Turns requests of entry hosts
// into proposals, and outcomes into replies. It holds nothing that must
// survive: an entry host that gets no reply asks the next leader again with the
// same holder, and gets the same grant.

// Chosen by the entry host to match replies.
using CoordinatorRequestId = std::uint64_t;
using ProposalToken = std::uint64_t;

// Events.

// A Reserve, Dispatch, Answer or Release of an entry host.
struct CoordinatorRequest {
  HostId from;
  CoordinatorRequestId id = 0;
  Command command;
  // Reserve: how long to wait for a running request, from the call's deadline.
  Duration wait;
  // The generation of the key owners that the entry host used; see KeyOwner.
  std::uint64_t generation = 0;
};
// A proposal of this coordinator was committed and applied.
struct Committed {
  ProposalToken token = 0;
  Outcome outcome;
};
// A proposal of this coordinator was refused, or may be lost.
struct ProposalFailed {
  ProposalToken token = 0;
};
struct GainedLeadership {};
struct LostLeadership {};
struct CoordinatorTick {};
// The key owners in force on this host: which data centre is this one, and its
// generation. Requests made under another generation are refused.
struct OwnersInForce {
  config::KeyOwners owners;
  DataCentreId self;
};

using CoordinatorEvent =
    std::variant<CoordinatorRequest, Committed, ProposalFailed,
                 GainedLeadership, LostLeadership, CoordinatorTick,
                 OwnersInForce>;

// Actions.

struct ProposeCommand {
  ProposalToken token = 0;
  Command command;
};

enum class ReplyCode : std::uint8_t {
  // See the outcome.
  Applied,
  // This replica doesn't lead; ask the leader. Nothing is known of the request.
  NotLeader,
  // The generation of the key owners differs, or this data centre doesn't own
  // the key. The request was not run.
  NotOwner,
  // The key is moving to another owner and has no stored answer. Not run.
  Moving,
  // Too many requests wait here. Not run by this request.
  Busy,
  // The running request was not answered before the deadline: the outcome of
  // the repeat is unknown.
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
  // Asks under way and waiting, together.
  std::size_t maxPendingRequests = 4096;
  // Expiries proposed at one tick.
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
  // Proposed and not committed yet.
  std::map<ProposalToken, PendingRequest> proposed;
  std::map<ProposalToken, Expire> expiring;
  // Repeats of running requests, oldest first per key.
  std::map<RequestKey, std::vector<PendingRequest>> waiting;
  std::size_t waitingCount = 0;
};

// aState is the journal that the proposals are applied to on this replica.
CoordinatorActions Step(Coordinator& aCoordinator, const JournalState& aState,
                        const CoordinatorEvent& aEvent, TimePoint aNow);

}  // namespace bramleypath::journal
