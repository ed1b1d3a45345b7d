#include "bramleypath/controller/LayoutService.h"

#include <optional>
#include <utility>
#include <vector>

#include "bramleypath/codec/CborCursor.h"
#include "bramleypath/codec/CborWriter.h"
#include "bramleypath/eventlog/EventLog.h"
#include "bramleypath/workflow/Codec.h"

namespace bramleypath::controller {

namespace {

using detail::LayoutChange;
using gateway::Bytes;
using workflow::Layout;

constexpr Duration kPollInterval = Millis(25);
// A frame or its answer may be lost, or wait behind a former leader's end.
constexpr Duration kResendInterval = Millis(250);
// Operators wait one second for an answer. The rest is for a redirect to the
// leader, which serves them if it doesn't know these frames.
constexpr Duration kCallTimeout = Millis(750);
// Peer links refuse messages of 2 MiB.
constexpr std::size_t kMaxCommandBytes = 1536 * 1024;

constexpr std::size_t kCallFields = 4;
constexpr std::size_t kAnswerFields = 5;

struct Call {
  std::uint64_t id = 0;
  bool isChange = false;
  // Of the change, or the version that the caller has applied.
  std::uint64_t version = 0;
  std::string command;
};

struct Reply {
  std::uint64_t id = 0;
  LayoutAnswer answer;
};

Bytes Encode(const Call& aCall) {
  Bytes bytes;
  codec::CborWriter writer{bytes};
  writer.Array(kCallFields);
  writer.Value(aCall.id);
  writer.Value(aCall.isChange);
  writer.Value(aCall.version);
  writer.Text(aCall.command);
  return bytes;
}

std::optional<Call> DecodeCall(gsl::span<const std::uint8_t> aBytes) {
  codec::CborCursor cursor{aBytes};
  Call call;
  cursor.ArrayOf(kCallFields);
  call.id = cursor.Unsigned();
  call.isChange = cursor.Boolean();
  call.version = cursor.Unsigned();
  call.command = cursor.Text();
  return cursor.IsFinished() ? std::optional(std::move(call)) : std::nullopt;
}

Bytes Encode(const Reply& aReply) {
  Bytes bytes;
  codec::CborWriter writer{bytes};
  writer.Array(kAnswerFields);
  writer.Value(aReply.id);
  writer.Value(static_cast<std::uint8_t>(aReply.answer.answer.status));
  writer.Text(aReply.answer.answer.reason);
  writer.Value(aReply.answer.version);
  writer.Text(aReply.answer.document);
  return bytes;
}

std::optional<Reply> DecodeReply(gsl::span<const std::uint8_t> aBytes) {
  constexpr auto kLast =
      static_cast<std::uint8_t>(AnswerStatus::OutcomeUnknown);
  codec::CborCursor cursor{aBytes};
  Reply reply;
  cursor.ArrayOf(kAnswerFields);
  reply.id = cursor.Unsigned();
  reply.answer.answer.status =
      static_cast<AnswerStatus>(cursor.Number<std::uint8_t>(kLast));
  reply.answer.answer.reason = cursor.Text();
  reply.answer.version = cursor.Unsigned();
  reply.answer.document = cursor.Text();
  return cursor.IsFinished() ? std::optional(std::move(reply)) : std::nullopt;
}

LayoutAnswer Failure(AnswerStatus aStatus, const char* aReason) {
  LayoutAnswer answer;
  answer.answer.status = aStatus;
  answer.answer.reason = aReason;
  return answer;
}

// Whether a repetition, perhaps at another leader, may give another outcome.
bool IsFinal(AnswerStatus aStatus) {
  return aStatus != AnswerStatus::NotLeader &&
         aStatus != AnswerStatus::OutcomeUnknown;
}

}  // namespace

LayoutService::LayoutService(LayoutEnvironment aEnvironment,
                             std::uint64_t aFirstId)
    : environment(std::move(aEnvironment)), nextId(aFirstId) {}

LayoutService::~LayoutService() { *this->alive = false; }

void LayoutService::Set(const Layout& aLayout, AnswerCallback aCallback) {
  Bytes command = workflow::Encode(workflow::SetLayout{aLayout});
  this->Start(
      LayoutChange{aLayout.version, std::move(command), std::move(aCallback)});
}

void LayoutService::Read(ReadLayoutCallback aCallback) {
  this->Start(std::move(aCallback));
}

void LayoutService::Start(Request aRequest) {
  const std::uint64_t id = this->nextId++;
  PendingCall call{std::move(aRequest), {}, {}, {}};
  call.deadline = this->environment.host.now() + kCallTimeout;
  this->pending.emplace(id, std::move(call));
  this->Attempt(id);
  this->ArmPoll();
}

void LayoutService::Attempt(std::uint64_t aId) {
  PendingCall& call = this->pending.at(aId);
  LayoutChange* const change = std::get_if<LayoutChange>(&call.request);
  const bool isLeader = this->environment.mayRead();
  if (isLeader && change) {
    call.resendAt = kNever;
    this->ApplyChange(
        change->version, change->command,
        [this, isAlive = this->alive, aId](const Answer& aAnswer) {
          if (*isAlive) {
            this->OnOutcome(aId, LayoutAnswer{aAnswer, 0, {}});
          }
        });
  } else if (isLeader) {
    this->End(aId, this->ReadLocally());
  } else if (change && change->command.size() > kMaxCommandBytes) {
    this->End(aId, Failure(AnswerStatus::NotLeader, "not the leader"));
  } else {
    this->SendCall(aId, call, this->environment.host.leader());
  }
}

void LayoutService::OnOutcome(std::uint64_t aId, const LayoutAnswer& aAnswer) {
  if (IsFinal(aAnswer.answer.status)) {
    this->End(aId, aAnswer);
    return;
  }
  const auto found = this->pending.find(aId);
  if (found != this->pending.end()) {
    // The next poll repeats the call at the leader that is known then.
    found->second.resendAt = TimePoint();
  }
}

void LayoutService::SendCall(std::uint64_t aId, PendingCall& aCall,
                             const HostId& aLeader) {
  aCall.sentTo = aLeader;
  aCall.resendAt = this->environment.host.now() + kResendInterval;
  if (aLeader.empty()) {
    return;
  }
  Call call;
  call.id = aId;
  if (const auto* const change = std::get_if<LayoutChange>(&aCall.request)) {
    call.isChange = true;
    call.version = change->version;
    call.command.assign(change->command.begin(), change->command.end());
  } else if (const Layout* const layout = this->environment.layout()) {
    call.version = layout->version;
  }
  this->environment.host.send(aLeader, kLayoutCallKind, Encode(call));
}

void LayoutService::ArmPoll() {
  if (this->pending.empty() || std::exchange(this->pollArmed, true)) {
    return;
  }
  this->environment.host.postAfter(kPollInterval,
                                   [this, isAlive = this->alive] {
                                     if (*isAlive) {
                                       this->Poll();
                                     }
                                   });
}

void LayoutService::Poll() {
  this->pollArmed = false;
  const TimePoint now = this->environment.host.now();
  const HostId leader = this->environment.host.leader();
  std::vector<std::uint64_t> ids;
  for (const auto& [id, call] : this->pending) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
      continue;
    }
    const PendingCall& call = found->second;
    if (call.resendAt == kNever) {
      continue;
    }
    if (now >= call.deadline) {
      this->End(id, Failure(AnswerStatus::NotLeader,
                            "the leader did not answer in time"));
    } else if (now >= call.resendAt || call.sentTo != leader) {
      this->Attempt(id);
    }
  }
  this->ArmPoll();
}

void LayoutService::End(std::uint64_t aId, const LayoutAnswer& aAnswer) {
  auto found = this->pending.extract(aId);
  if (found.empty()) {
    return;
  }
  auto& request = found.mapped().request;
  if (const auto* const change = std::get_if<LayoutChange>(&request)) {
    change->callback(aAnswer.answer);
  } else {
    std::get<ReadLayoutCallback>(request)(aAnswer);
  }
}

LayoutAnswer LayoutService::ReadLocally() const {
  const Layout* const layout = this->environment.layout();
  if (!layout) {
    return Failure(AnswerStatus::Unknown, "no configuration yet");
  }
  LayoutAnswer answer;
  answer.answer.status = AnswerStatus::Done;
  answer.version = layout->version;
  answer.document = layout->document;
  return answer;
}

void LayoutService::ApplyChange(std::uint64_t aVersion, Bytes aCommand,
                                AnswerCallback aCallback) {
  const Layout* const layout = this->environment.layout();
  if (layout && layout->version >= aVersion) {
    // The state of a leader with a lease includes all that is committed, so
    // another commit would tell no more.
    aCallback(Answer{AnswerStatus::Repeated, 0, ""});
    return;
  }
  this->environment.propose(aVersion, std::move(aCommand),
                            std::move(aCallback));
}

void LayoutService::OnCall(const HostId& aFrom,
                           gsl::span<const std::uint8_t> aPayload) {
  auto call = DecodeCall(aPayload);
  if (!call) {
    eventlog::Write("layout_message_malformed", {{"from", aFrom.value}});
    return;
  }
  const auto reply = [this, isAlive = this->alive, aFrom,
                      id = call->id](LayoutAnswer aAnswer) {
    if (*isAlive) {
      this->environment.host.send(aFrom, kLayoutAnswerKind,
                                  Encode(Reply{id, std::move(aAnswer)}));
    }
  };
  if (!this->environment.mayRead()) {
    reply(Failure(AnswerStatus::NotLeader, "not the leader"));
    return;
  }
  if (call->isChange) {
    this->ApplyChange(call->version,
                      Bytes(call->command.begin(), call->command.end()),
                      [reply](const Answer& aAnswer) {
                        reply(LayoutAnswer{aAnswer, 0, {}});
                      });
    return;
  }
  LayoutAnswer answer = this->ReadLocally();
  if (answer.version == call->version) {
    answer.document.clear();
  }
  reply(std::move(answer));
}

void LayoutService::OnAnswer(gsl::span<const std::uint8_t> aPayload) {
  auto reply = DecodeReply(aPayload);
  if (!reply) {
    eventlog::Write("layout_message_malformed", {{"from", "leader"}});
    return;
  }
  const auto found = this->pending.find(reply->id);
  if (found == this->pending.end() || found->second.resendAt == kNever) {
    return;
  }
  LayoutAnswer& answer = reply->answer;
  const bool isRead =
      std::holds_alternative<ReadLayoutCallback>(found->second.request);
  if (isRead && answer.answer.status == AnswerStatus::Done &&
      answer.document.empty()) {
    const Layout* const layout = this->environment.layout();
    if (!layout || layout->version != answer.version) {
      // A newer one has been applied here since the call was sent.
      found->second.resendAt = TimePoint();
      return;
    }
    answer.document = layout->document;
  }
  this->OnOutcome(reply->id, answer);
}

}  // namespace bramleypath::controller
