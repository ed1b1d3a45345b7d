#include "bramleypath/controller/DrainService.h"

#include <algorithm>
#include <cstddef>
#include <vector>

#include "bramleypath/codec/CborCursor.h"
#include "bramleypath/codec/CborWriter.h"
#include "bramleypath/eventlog/EventLog.h"

namespace bramleypath::controller {

namespace {

constexpr Duration kPollInterval = Millis(25);
// A frame or its answer may be lost.
constexpr Duration kResendInterval = Millis(150);
// An order that is sent again finds the outcome of the first. Orders expire
// earlier, and the commit of one takes at most 2.5 s.
constexpr Duration kOutcomeKept = Seconds(5);
// Operators have at most eight orders in progress, each sent a few times.
constexpr std::size_t kMaxPendingOrders = 64;
constexpr std::size_t kMaxReceivedOrders = 512;
constexpr std::size_t kCallFields = 6;
constexpr std::size_t kReplyFields = 5;

Answer MakeAnswer(AnswerStatus aStatus, const char* aReason) {
  return Answer{aStatus, 0, aReason};
}

// Whether a repetition, perhaps at another leader, may give another outcome.
bool IsFinal(AnswerStatus aStatus) {
  return aStatus != AnswerStatus::NotLeader &&
         aStatus != AnswerStatus::OutcomeUnknown;
}

}  // namespace

// Asks for a stamp if its term is 0, else gives the order.
struct DrainService::Call {
  std::uint64_t id = 0;
  Stamp stamp;
  // How long after the stamp the order may be carried out.
  Duration validFor;
  workflow::SetDrain order;
};

// The outcome of the order, or only a stamp: NotLeader with a term.
struct DrainService::Reply {
  std::uint64_t id = 0;
  Stamp stamp;
  Answer answer;
};

std::vector<std::uint8_t> DrainService::Encode(const Call& aCall) {
  std::vector<std::uint8_t> bytes;
  codec::CborWriter writer{bytes};
  writer.Array(kCallFields);
  writer.Value(aCall.id);
  writer.Value(aCall.stamp.epoch);
  writer.Signed(aCall.stamp.at.micros);
  writer.Signed(aCall.validFor.micros);
  writer.Text(aCall.order.dataCentre.value);
  writer.Value(aCall.order.drained);
  return bytes;
}

std::optional<DrainService::Call> DrainService::DecodeCall(
    gsl::span<const std::uint8_t> aBytes) {
  codec::CborCursor cursor{aBytes};
  Call call;
  cursor.ArrayOf(kCallFields);
  call.id = cursor.Unsigned();
  call.stamp.epoch = cursor.Unsigned();
  call.stamp.at.micros = cursor.Signed();
  call.validFor.micros = cursor.Signed();
  call.order.dataCentre = DataCentreId(cursor.Text());
  call.order.drained = cursor.Boolean();
  return cursor.IsFinished() ? std::optional(std::move(call)) : std::nullopt;
}

std::vector<std::uint8_t> DrainService::Encode(const Reply& aReply) {
  std::vector<std::uint8_t> bytes;
  codec::CborWriter writer{bytes};
  writer.Array(kReplyFields);
  writer.Value(aReply.id);
  writer.Value(aReply.stamp.epoch);
  writer.Signed(aReply.stamp.at.micros);
  writer.Value(static_cast<std::uint8_t>(aReply.answer.status));
  writer.Text(aReply.answer.reason);
  return bytes;
}

std::optional<DrainService::Reply> DrainService::DecodeReply(
    gsl::span<const std::uint8_t> aBytes) {
  constexpr auto kLast =
      static_cast<std::uint8_t>(AnswerStatus::OutcomeUnknown);
  codec::CborCursor cursor{aBytes};
  Reply reply;
  cursor.ArrayOf(kReplyFields);
  reply.id = cursor.Unsigned();
  reply.stamp.epoch = cursor.Unsigned();
  reply.stamp.at.micros = cursor.Signed();
  reply.answer.status =
      static_cast<AnswerStatus>(cursor.Number<std::uint8_t>(kLast));
  reply.answer.reason = cursor.Text();
  return cursor.IsFinished() ? std::optional(std::move(reply)) : std::nullopt;
}

DrainService::DrainService(DrainEnvironment aEnvironment,
                           std::uint64_t aFirstId)
    : environment(std::move(aEnvironment)), nextId(aFirstId) {}

DrainService::~DrainService() { *this->alive = false; }

void DrainService::Set(const workflow::SetDrain& aOrder, TimePoint aReceivedAt,
                       AnswerCallback aCallback) {
  if (this->pending.size() >= kMaxPendingOrders) {
    aCallback(MakeAnswer(AnswerStatus::Refused, "too many orders at once"));
    return;
  }
  const TimePoint deadline = aReceivedAt + kOrderLifetime;
  if (deadline <= this->environment.host.now()) {
    aCallback(MakeAnswer(AnswerStatus::Refused, "the order is too old"));
    return;
  }
  const std::uint64_t id = this->nextId++;
  PendingOrder order;
  order.order = aOrder;
  order.callback = std::move(aCallback);
  order.deadline = deadline;
  order.answerBy = aReceivedAt + kOrderAnswerTime;
  this->pending.emplace(id, std::move(order));
  this->Attempt(id);
  this->ArmPoll();
}

void DrainService::Attempt(std::uint64_t aId) {
  PendingOrder& order = this->pending.at(aId);
  if (!this->environment.mayRead()) {
    this->Send(aId, order);
    return;
  }
  order.resendAt = kNever;
  order.sentTo = HostId();
  this->CarryOut(workflow::SetDrain(order.order),
                 [this, isAlive = this->alive, aId](const Answer& aAnswer) {
                   if (*isAlive) {
                     this->OnOutcome(aId, aAnswer);
                   }
                 });
}

void DrainService::Send(std::uint64_t aId, PendingOrder& aOrder) {
  const HostId leader = this->environment.host.leader();
  if (aOrder.sentTo != leader) {
    aOrder.stamp.reset();
  }
  aOrder.sentTo = leader;
  aOrder.resendAt = this->environment.host.now() + kResendInterval;
  if (leader.empty()) {
    return;
  }
  Call call;
  call.id = aId;
  call.order = aOrder.order;
  if (aOrder.stamp) {
    call.stamp = *aOrder.stamp;
    call.validFor = aOrder.stampValidFor;
  }
  this->environment.host.send(leader, kDrainCallKind, Encode(call));
}

void DrainService::OnOutcome(std::uint64_t aId, const Answer& aAnswer) {
  if (IsFinal(aAnswer.status)) {
    this->End(aId, aAnswer);
    return;
  }
  const auto found = this->pending.find(aId);
  if (found == this->pending.end()) {
    return;
  }
  if (found->second.deadline <= this->environment.host.now()) {
    this->End(aId, aAnswer);
    return;
  }
  // The next poll repeats the order at the leader that is known then.
  found->second.stamp.reset();
  found->second.resendAt = TimePoint();
}

void DrainService::End(std::uint64_t aId, const Answer& aAnswer) {
  auto found = this->pending.extract(aId);
  if (!found.empty()) {
    found.mapped().callback(aAnswer);
  }
}

void DrainService::ArmPoll() {
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

void DrainService::Poll() {
  this->pollArmed = false;
  const TimePoint now = this->environment.host.now();
  const HostId leader = this->environment.host.leader();
  std::vector<std::uint64_t> ids;
  for (const auto& [id, order] : this->pending) {
    if (order.resendAt != kNever) {
      ids.push_back(id);
    }
  }
  for (const std::uint64_t id : ids) {
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
      continue;
    }
    const PendingOrder& order = found->second;
    if (now >= order.answerBy) {
      this->End(id, MakeAnswer(AnswerStatus::NotLeader,
                               "the leader did not answer in time"));
    } else if (now < order.deadline &&
               (now >= order.resendAt || order.sentTo != leader)) {
      this->Attempt(id);
    }
  }
  this->ArmPoll();
}

void DrainService::CarryOut(const workflow::SetDrain& aOrder,
                            AnswerCallback aCallback) {
  switch (this->environment.knowledge(aOrder.dataCentre)) {
    case Knowledge::Known:
      break;
    case Knowledge::NotYetKnown:
      aCallback(MakeAnswer(AnswerStatus::Refused,
                           "the leader has not heard from all hosts yet"));
      return;
    case Knowledge::Unknown:
      aCallback(MakeAnswer(AnswerStatus::Unknown, "unknown data centre"));
      return;
  }
  // Also if the state shows the drain as ordered: an order to the contrary may
  // be in the log already, and the later one has to be the last.
  this->environment.propose(aOrder, std::move(aCallback));
}

void DrainService::OnCall(const HostId& aFrom,
                          gsl::span<const std::uint8_t> aPayload) {
  const auto call = DecodeCall(aPayload);
  if (!call) {
    eventlog::Write("drain_message_malformed", {{"from", aFrom.value}});
    return;
  }
  Reply reply;
  reply.id = call->id;
  reply.answer.status = AnswerStatus::NotLeader;
  if (!this->environment.mayRead()) {
    reply.answer.reason = "not the leader";
    this->SendReply(aFrom, reply);
    return;
  }
  const Epoch epoch = this->environment.epoch();
  const TimePoint now = this->environment.host.now();
  if (call->stamp.epoch == epoch) {
    this->OnOrder(aFrom, *call);
    return;
  }
  reply.stamp = Stamp{epoch, now};
  this->SendReply(aFrom, reply);
}

void DrainService::OnOrder(const HostId& aFrom, const Call& aCall) {
  this->ForgetOldOrders();
  Reply reply;
  reply.id = aCall.id;
  const TimePoint now = this->environment.host.now();
  const OrderKey key{aFrom, aCall.id};
  const auto known = this->received.find(key);
  if (known != this->received.end()) {
    if (known->second.answer) {
      reply.answer = *known->second.answer;
      this->SendReply(aFrom, reply);
    }
    return;
  }
  const bool isLate = aCall.stamp.at + aCall.validFor <= now;
  if (isLate || this->received.size() >= kMaxReceivedOrders) {
    reply.answer =
        MakeAnswer(AnswerStatus::Refused,
                   isLate ? "the order is too old" : "too many orders at once");
    this->SendReply(aFrom, reply);
    return;
  }
  this->received[key].forgetAt = now + kOutcomeKept;
  this->CarryOut(
      aCall.order, [this, isAlive = this->alive, key, reply,
                    epoch = aCall.stamp.epoch](const Answer& aAnswer) mutable {
        if (!*isAlive) {
          return;
        }
        const auto found = this->received.find(key);
        if (found != this->received.end() && this->receivedEpoch == epoch) {
          if (aAnswer.status == AnswerStatus::NotLeader) {
            // Not in the log, so that it may be given again.
            this->received.erase(found);
          } else {
            found->second.answer = aAnswer;
          }
        }
        reply.answer = aAnswer;
        this->SendReply(key.first, reply);
      });
}

void DrainService::ForgetOldOrders() {
  const Epoch epoch = this->environment.epoch();
  if (std::exchange(this->receivedEpoch, epoch) != epoch) {
    this->received.clear();
  }
  const TimePoint now = this->environment.host.now();
  for (auto it = this->received.begin(); it != this->received.end();) {
    it = it->second.forgetAt <= now ? this->received.erase(it) : std::next(it);
  }
}

void DrainService::SendReply(const HostId& aTo, const Reply& aReply) {
  this->environment.host.send(aTo, kDrainAnswerKind, Encode(aReply));
}

void DrainService::OnAnswer(const HostId& aFrom,
                            gsl::span<const std::uint8_t> aPayload) {
  const auto reply = DecodeReply(aPayload);
  if (!reply) {
    eventlog::Write("drain_message_malformed", {{"from", aFrom.value}});
    return;
  }
  const auto found = this->pending.find(reply->id);
  // An answer of a leader that the order isn't with any more is ignored: with
  // the answer, a copy on its way to the next leader would come after the end
  // of the order.
  if (found == this->pending.end() || found->second.resendAt == kNever ||
      found->second.sentTo != aFrom) {
    return;
  }
  PendingOrder& order = found->second;
  if (reply->answer.status != AnswerStatus::NotLeader ||
      reply->stamp.epoch == 0) {
    this->OnOutcome(reply->id, reply->answer);
    return;
  }
  if (order.stamp && order.stamp->epoch >= reply->stamp.epoch) {
    return;
  }
  const TimePoint now = this->environment.host.now();
  if (order.deadline <= now) {
    return;
  }
  order.stamp = reply->stamp;
  order.stampValidFor = order.deadline - now;
  this->Send(reply->id, order);
}

}  // namespace bramleypath::controller
