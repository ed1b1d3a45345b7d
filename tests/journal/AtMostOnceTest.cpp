#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <tuple>
#include <vector>

#include "bramleypath/journal/Codec.h"
#include "bramleypath/journal/Coordinator.h"

namespace bramleypath::journal {

namespace {

// A random step of the simulation: the kind of operation and two parameters.
using Operation = std::tuple<unsigned char, unsigned char, unsigned char>;

constexpr std::size_t kReplicas = 3;
constexpr std::size_t kEntryHosts = 2;
constexpr std::size_t kKeys = 3;
// The random operations end before the first answer expires, because a key is
// guaranteed to run at most once only while its answer is retained.
constexpr TimePoint kEnd = TimePoint{} + Seconds(590);

const DataCentreId kCentre{"a"};

RequestKey KeyOf(std::size_t aKey) {
  return {ClientAccountId{"m"}, "key-" + std::to_string(aKey)};
}

enum class CallStage {
  Reserving,
  Dispatching,
  MaySend,
  Sent,
  Releasing,
  Ended
};

// One attempt of an entry host to run a keyed request. It follows the protocol:
// it sends only in time and on a grant in reply to its own latest request, and
// it releases only a grant under which it sent nothing.
struct Call {
  Holder holder;
  RequestKey key;
  Fingerprint body;
  bool dispatchAtOnce = false;
  CallStage stage = CallStage::Reserving;
  CoordinatorRequestId requestId = 0;
  TimePoint requestedAt;
  StoredAnswer answer;
};

struct InFlight {
  std::size_t replica = 0;
  std::variant<CoordinatorRequest, Reply> message;
};

struct Replica {
  Coordinator coordinator;
  JournalState state;
  std::size_t applied = 0;
};

// A simulation of a group of replicas with a shared log, two entry hosts, and a
// network that drops, duplicates, delays and reorders messages.
struct Simulation {
  TimePoint now;
  std::vector<Bytes> log;
  std::array<Replica, kReplicas> replicas;
  std::size_t leader = 0;
  // Proposed by the leader but not committed.
  std::vector<ProposeCommand> pending;
  std::vector<InFlight> network;
  std::vector<Call> calls;
  CoordinatorRequestId lastRequestId = 0;
  std::map<std::string, int> executions;              // by key
  std::map<std::string, StoredAnswer> targetAnswers;  // by key
  std::map<std::string, Fingerprint> executedBodies;  // by key

  Simulation() {
    config::KeyOwners owners;
    owners.generation = 1;
    owners.current = {kCentre};
    for (std::size_t index = 0; index < kReplicas; ++index) {
      this->Handle(index, OwnersInForce{owners, kCentre});
    }
    this->Handle(this->leader, GainedLeadership{});
  }

  void Handle(std::size_t aReplica, const CoordinatorEvent& aEvent) {
    Replica& replica = this->replicas[aReplica];
    auto actions = Step(replica.coordinator, replica.state, aEvent, this->now);
    for (CoordinatorAction& action : actions) {
      if (auto* const reply = std::get_if<Reply>(&action)) {
        this->network.push_back(InFlight{aReplica, *reply});
      } else if (aReplica == this->leader) {
        this->pending.push_back(std::get<ProposeCommand>(action));
      }
    }
  }

  // Applies the next log entry on a replica. A token other than 0 reports the
  // outcome to the replica's coordinator, which proposed the command.
  void ApplyNext(std::size_t aReplica, ProposalToken aToken) {
    Replica& replica = this->replicas[aReplica];
    const auto command = DecodeCommand(this->log[replica.applied++]);
    RC_ASSERT(command.has_value());
    const Outcome outcome = Apply(replica.state, *command, this->now);
    if (aToken != 0) {
      this->Handle(aReplica, Committed{aToken, outcome});
    }
  }

  void CatchUp(std::size_t aReplica) {
    while (this->replicas[aReplica].applied < this->log.size()) {
      this->ApplyNext(aReplica, 0);
    }
  }

  void CommitNext() {
    if (!this->pending.empty()) {
      const ProposeCommand proposal = this->pending.front();
      this->pending.erase(this->pending.begin());
      this->log.push_back(EncodeCommand(proposal.command));
      this->ApplyNext(this->leader, proposal.token);
    }
  }

  // Commits the first aSurvivors proposals of the old leader and drops the
  // others.
  void ChangeLeader(std::size_t aNew, std::size_t aSurvivors) {
    for (std::size_t index = 0;
         index < this->pending.size() && index < aSurvivors; ++index) {
      this->log.push_back(EncodeCommand(this->pending[index].command));
    }
    this->pending.clear();
    this->Handle(this->leader, LostLeadership{});
    this->leader = aNew;
    this->CatchUp(aNew);
    this->Handle(aNew, GainedLeadership{});
  }

  void Restart(std::size_t aReplica) {
    if (aReplica == this->leader) {
      this->ChangeLeader((aReplica + 1) % kReplicas, 0);
    }
    Replica& replica = this->replicas[aReplica];
    const auto state =
        RestoreSnapshot(TakeSnapshot(replica.state), Periods{}, this->now);
    RC_ASSERT(state.has_value());
    replica.state = *state;
  }

  void SendRequest(Call& aCall, decltype(Command::body) aBody) {
    aCall.requestId = ++this->lastRequestId;
    aCall.requestedAt = this->now;
    this->network.push_back(
        InFlight{this->leader,
                 CoordinatorRequest{aCall.holder.host, aCall.requestId,
                                    Command{std::move(aBody)}, Seconds(3), 1}});
  }

  // Sends or resends the request of the call's current stage.
  void ResendRequest(Call& aCall) {
    switch (aCall.stage) {
      case CallStage::Reserving:
        this->SendRequest(aCall, Reserve{aCall.key, aCall.body, aCall.holder,
                                         aCall.dispatchAtOnce});
        break;
      case CallStage::Dispatching:
        this->SendRequest(aCall, Dispatch{aCall.key, aCall.holder});
        break;
      case CallStage::Sent:
        this->SendRequest(aCall, Answer{aCall.key, aCall.holder, aCall.answer});
        break;
      case CallStage::Releasing:
        this->SendRequest(aCall, Release{aCall.key, aCall.holder});
        break;
      default:
        break;
    }
  }

  void StartCall(std::size_t aHost, unsigned char aNumber) {
    Call call;
    call.holder = {HostId{"e" + std::to_string(aHost)}, this->calls.size() + 1};
    call.key = KeyOf(aNumber % kKeys);
    call.body = Fingerprint{0, aNumber > 230 ? 1U : 0U};
    call.dispatchAtOnce = aNumber % 2 == 0;
    this->calls.push_back(call);
    this->ResendRequest(this->calls.back());
  }

  void Send(Call& aCall) {
    if (aCall.stage != CallStage::MaySend) {
      return;
    }
    if (this->now > aCall.requestedAt + kMaxSendDelay) {
      this->ReleaseGrant(aCall);
      return;
    }
    const int executed = ++this->executions[aCall.key.key];
    RC_ASSERT(executed == 1);
    aCall.answer = {
        200, "t", {static_cast<std::uint8_t>(aCall.holder.nonce)}, false};
    this->targetAnswers[aCall.key.key] = aCall.answer;
    this->executedBodies[aCall.key.key] = aCall.body;
    aCall.stage = CallStage::Sent;
  }

  void ReleaseGrant(Call& aCall) {
    if (aCall.stage != CallStage::Sent && aCall.stage != CallStage::Ended) {
      aCall.stage = CallStage::Releasing;
      this->ResendRequest(aCall);
    }
  }

  void OnReply(const Reply& aReply) {
    for (Call& call : this->calls) {
      if (call.requestId == aReply.id && call.holder.host == aReply.to &&
          aReply.code == ReplyCode::Applied) {
        this->OnOutcome(call, aReply.outcome);
      }
    }
  }

  void OnOutcome(Call& aCall, const Outcome& aOutcome) {
    const bool awaitsGrant = aCall.stage == CallStage::Reserving ||
                             aCall.stage == CallStage::Dispatching;
    if (aCall.stage == CallStage::Ended || aCall.stage == CallStage::MaySend) {
      return;  // a duplicate reply
    }
    if (aOutcome.result == Result::Answered && aCall.stage != CallStage::Sent) {
      RC_ASSERT(awaitsGrant &&
                aOutcome.answer == this->targetAnswers[aCall.key.key]);
      RC_ASSERT(aCall.body == this->executedBodies[aCall.key.key]);
    }
    if (!awaitsGrant || aOutcome.result != Result::Granted) {
      aCall.stage = CallStage::Ended;
      return;
    }
    const bool dispatchRecorded =
        aCall.stage == CallStage::Dispatching || aCall.dispatchAtOnce;
    aCall.stage =
        dispatchRecorded ? CallStage::MaySend : CallStage::Dispatching;
    if (!dispatchRecorded) {
      this->ResendRequest(aCall);
    }
  }

  void Deliver(std::size_t aIndex, bool aKeep) {
    const InFlight message = this->network[aIndex];
    if (!aKeep) {
      this->network.erase(this->network.begin() + static_cast<long>(aIndex));
    }
    if (const auto* const reply = std::get_if<Reply>(&message.message)) {
      this->OnReply(*reply);
    } else {
      this->Handle(message.replica,
                   std::get<CoordinatorRequest>(message.message));
    }
  }

  void CrashEntryHost(std::size_t aHost) {
    const HostId name{"e" + std::to_string(aHost)};
    for (Call& call : this->calls) {
      if (call.holder.host == name) {
        call.stage = CallStage::Ended;
      }
    }
  }

  void Advance(Duration aLength) {
    if (this->now + aLength < kEnd) {
      this->now = this->now + aLength;
      this->Handle(this->leader, CoordinatorTick{});
    }
  }

  void Run(const Operation& aOperation) {
    const auto& [kind, first, second] = aOperation;
    const std::size_t messageIndex =
        this->network.empty() ? 0 : first % this->network.size();
    Call* const call = this->calls.empty()
                           ? nullptr
                           : &this->calls[first % this->calls.size()];
    switch (kind % 20) {
      case 0:
      case 1:
        this->StartCall(first % kEntryHosts, second);
        break;
      case 2:
        if (call != nullptr) {
          this->ResendRequest(*call);
        }
        break;
      case 3:
        if (call != nullptr && second % 4 == 0) {
          this->ReleaseGrant(*call);
        }
        break;
      case 4:
        if (second % 8 == 0) {
          this->CrashEntryHost(first % kEntryHosts);
        }
        break;
      case 5:
        this->ChangeLeader(first % kReplicas, second % 4);
        break;
      case 6:
        this->Restart(first % kReplicas);
        break;
      case 7:
        this->Advance(Millis(first * 100));
        break;
      case 8:
        this->Advance(Seconds(second % 8 == 0 ? 130 : 11));
        break;
      case 9:
        if (!this->network.empty()) {
          this->network.erase(this->network.begin() +
                              static_cast<long>(messageIndex));
        }
        break;
      case 10:
      case 11:
      case 12:
        this->CommitNext();
        break;
      case 13:
      case 14:
        // Sends every call that may be sent.
        for (Call& each : this->calls) {
          this->Send(each);
        }
        break;
      default:
        if (!this->network.empty()) {
          this->Deliver(messageIndex, kind % 20 == 15);
        }
    }
  }

  // Delivers and commits everything, without faults. Each key must then have a
  // final outcome within a bounded time.
  void RunToQuiescence() {
    for (int step = 0; step < 8; ++step) {
      while (!this->network.empty() || !this->pending.empty()) {
        while (!this->network.empty()) {
          this->Deliver(0, false);
        }
        for (Call& call : this->calls) {
          this->Send(call);
        }
        this->CommitNext();
      }
      this->now = this->now + Seconds(30);
      this->Handle(this->leader, CoordinatorTick{});
    }
    const Replica& last = this->replicas[this->leader];
    RC_ASSERT(last.coordinator.waitingCount == 0U);
    RC_ASSERT(last.coordinator.proposed.empty());
    for (const auto& [key, record] : last.state.records) {
      const std::string_view stage = StageName(record);
      RC_ASSERT(stage == "Answered" || stage == "Unknown");
    }
    // All replicas must have the same state, except for their local deadlines.
    for (std::size_t index = 0; index < kReplicas; ++index) {
      this->CatchUp(index);
      RC_ASSERT(TakeSnapshot(this->replicas[index].state) ==
                TakeSnapshot(last.state));
    }
  }
};

}  // namespace

class AtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(testKeyedRequestsRunAtMostOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a keyed request that runs twice, against an answer to a
  // request with another body, and against repeats that get no outcome, when
  // two entry hosts race, leaders change between dispatch and answer, and
  // messages are lost, duplicated and delayed.
  void testKeyedRequestsRunAtMostOnce() {
    CPPUNIT_ASSERT(rc::check("keyed requests run at most once", [] {
      const auto operations =
          *rc::gen::resize(400, rc::gen::arbitrary<std::vector<Operation>>());
      Simulation simulation;
      for (const Operation& operation : operations) {
        simulation.Run(operation);
      }
      simulation.RunToQuiescence();
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

}  // namespace bramleypath::journal
