#include "bramleypath/gateway/Gateway.h"

#include <variant>

#include "bramleypath/eventlog/EventLog.h"

namespace bramleypath::gateway {

namespace {

using workflow::RenewLeaseAnswer;
using workflow::RequestAnswer;

// Answers of this time share a frame, which costs the leader more than an
// answer in it does.
constexpr Duration kCollectTime = Millis(10);

Answer MakeRejection(std::uint64_t aId, const char* aReason) {
  Answer answer;
  answer.id = aId;
  answer.rejected = true;
  answer.answer.result.outcome = workflow::RequestOutcome::NotSent;
  answer.answer.result.delayedByLeader = true;
  answer.answer.result.reason = aReason;
  return answer;
}

}  // namespace

Gateway::Gateway(Environment aEnvironment, std::uint64_t aProcess,
                 workflow::WorkerDriver aDriver)
    : environment(std::move(aEnvironment)),
      process(aProcess),
      driver(std::move(aDriver)) {}

Gateway::~Gateway() { *this->alive = false; }

Stamp Gateway::MakeStamp() const {
  return Stamp{this->process, this->environment.now()};
}

void Gateway::OnProbe(const HostId& aFrom) {
  if (!this->closed && this->environment.leader() == aFrom) {
    this->environment.send(aFrom, kReadyKind,
                           EncodeReady(Ready{this->MakeStamp()}));
  }
}

// The frame left the leader no earlier than stampAgeMs after this host sent the
// stamp, however long it waited to be read here. So the limit is never later
// than the leader's.
bool Gateway::MaySend(const Requests& aRequests,
                      const Request& aRequest) const {
  const TimePoint now = this->environment.now();
  const Stamp& stamp = aRequests.stamp;
  if (stamp.process != this->process || stamp.at > now) {
    return false;
  }
  const std::int64_t limitMs =
      std::int64_t{aRequests.stampAgeMs} + aRequest.sendWithinMs;
  return now <= stamp.at + Millis(limitMs);
}

void Gateway::OnRequests(const HostId& aFrom,
                         gsl::span<const std::uint8_t> aPayload) {
  const auto requests = DecodeRequests(aPayload);
  if (!requests) {
    eventlog::Write("gateway_message_malformed", {{"from", aFrom.value}});
    return;
  }
  const Receiver receiver(aFrom, requests->session);
  const bool fromLeader = this->environment.leader() == aFrom;
  for (const Request& request : requests->requests) {
    if (this->closed) {
      ++this->counters.rejected;
      this->AddAnswer(receiver,
                      MakeRejection(request.id, "the gateway is stopping"));
    } else if (!fromLeader) {
      ++this->counters.rejected;
      this->AddAnswer(receiver, MakeRejection(request.id,
                                              "the gateway knows another "
                                              "leader or none"));
    } else if (!this->MaySend(*requests, request)) {
      ++this->counters.rejected;
      this->AddAnswer(receiver,
                      MakeRejection(request.id, "too late at the gateway"));
    } else {
      ++this->counters.executed;
      this->Execute(receiver, request);
    }
  }
}

void Gateway::Execute(const Receiver& aReceiver, const Request& aRequest) {
  workflow::WorkerSpec worker;
  worker.id = aRequest.worker;
  worker.address = aRequest.address;
  const auto onRenewed = [this, isAlive = this->alive, receiver = aReceiver,
                          id = aRequest.id](RenewLeaseAnswer aAnswer) {
    if (*isAlive) {
      this->AddAnswer(receiver, Answer{id, false, std::move(aAnswer)});
    }
  };
  const auto onAnswer = [onRenewed](RequestAnswer aAnswer) {
    RenewLeaseAnswer answer;
    answer.result = std::move(aAnswer);
    onRenewed(std::move(answer));
  };
  struct Sender {
    const workflow::WorkerDriver& driver;
    const workflow::WorkerSpec& worker;
    const std::function<void(RequestAnswer)>& onAnswer;
    const std::function<void(RenewLeaseAnswer)>& onRenewed;
    void operator()(const workflow::StartRequest& aStart) const {
      this->driver.start(this->worker, aStart, this->onAnswer);
    }
    void operator()(const workflow::StopRequest& aStop) const {
      this->driver.stop(this->worker, aStop, this->onAnswer);
    }
    void operator()(const workflow::PaceRequest& aPace) const {
      this->driver.pace(this->worker, aPace, this->onAnswer);
    }
    void operator()(const workflow::RenewLeaseRequest& aRenewal) const {
      this->driver.renewLease(this->worker, aRenewal, this->onRenewed);
    }
  };
  std::visit(Sender{this->driver, worker, onAnswer, onRenewed}, aRequest.body);
}

void Gateway::AddAnswer(const Receiver& aReceiver, Answer aAnswer) {
  if (this->answers.empty()) {
    this->environment.postAfter(kCollectTime, [this, isAlive = this->alive] {
      if (*isAlive) {
        this->SendAnswers();
      }
    });
  }
  this->answers[aReceiver].push_back(std::move(aAnswer));
}

void Gateway::SendAnswers() {
  auto batches = std::exchange(this->answers, {});
  for (auto& [receiver, batch] : batches) {
    const auto& [host, session] = receiver;
    Answers message{session, this->MakeStamp(), {}};
    std::size_t size = 0;
    for (Answer& answer : batch) {
      const bool isLast = &answer == &batch.back();
      size += MaxEncodedBytes(answer);
      message.answers.push_back(std::move(answer));
      if (size >= kFullMessageBytes || isLast) {
        this->environment.send(host, kAnswersKind, EncodeAnswers(message));
        message.answers.clear();
        size = 0;
      }
    }
  }
}

}  // namespace bramleypath::gateway
