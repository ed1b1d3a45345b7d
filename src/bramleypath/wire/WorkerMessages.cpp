#include "bramleypath/wire/WorkerMessages.h"

#include <array>
#include <utility>

#include "bramleypath/codec/Fields.h"
#include "bramleypath/net/Http.h"
#include "bramleypath/wire/internal/JsonBody.h"

namespace bramleypath::wire {

namespace {

// Names of enumerators in JSON, indexed by the value of the enumerator.

constexpr std::array<const char*, 5> kCommandKinds{"start", "renew", "throttle",
                                                   "checkpoint", "stop"};
constexpr std::array<const char*, 2> kJobKinds{"batch", "service"};
constexpr std::array<const char*, 3> kRunningStates{"running", "throttled",
                                                    "checkpointed"};
constexpr std::array<const char*, 4> kEndEvents{"finished", "failed", "stopped",
                                                "lease_expired"};

template <typename Enum, std::size_t Count>
std::string ToName(Enum aValue, const std::array<const char*, Count>& aNames) {
  return aNames.at(static_cast<std::size_t>(aValue));
}

template <typename Enum, std::size_t Count>
bool FromName(const std::string& aName,
              const std::array<const char*, Count>& aNames, Enum& aValue) {
  for (std::size_t i = 0; i < Count; ++i) {
    if (aName == aNames[i]) {
      aValue = static_cast<Enum>(i);
      return true;
    }
  }
  return false;
}

struct CommandJson {
  std::string kind;
  std::string job;
  std::uint32_t index = 0;
  AttemptNumber attempt = 0;
  std::string clientAccount;
  std::string className;
  std::string jobKind = "batch";
  std::int64_t processorsMilli = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;
  std::string checkpoint;
  std::uint32_t sharePercent = cell::kFullSharePercent;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, CommandJson& aCommand) {
  aVisitor.Required("kind", aCommand.kind);
  aVisitor.Required("job", aCommand.job);
  aVisitor.Required("index", aCommand.index);
  aVisitor.Required("attempt", aCommand.attempt);
  aVisitor.Optional("member", aCommand.clientAccount);
  aVisitor.Optional("class", aCommand.className);
  aVisitor.Optional("job_kind", aCommand.jobKind);
  aVisitor.Optional("processors_milli", aCommand.processorsMilli);
  aVisitor.Optional("memory_mb", aCommand.memoryMb);
  aVisitor.Optional("accelerators", aCommand.accelerators);
  aVisitor.Optional("checkpoint", aCommand.checkpoint);
  aVisitor.Optional("share_percent", aCommand.sharePercent);
}

struct AttemptJson {
  std::string job;
  std::uint32_t index = 0;
  AttemptNumber attempt = 0;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, AttemptJson& aAttempt) {
  aVisitor.Required("job", aAttempt.job);
  aVisitor.Required("index", aAttempt.index);
  aVisitor.Required("attempt", aAttempt.attempt);
}

struct BatchJson {
  Epoch epoch = 0;
  std::string worker;
  std::uint64_t incarnation = 0;
  std::int64_t echoedTimestamp = 0;
  std::int64_t leaseMs = 0;
  bool renewAll = false;
  std::uint64_t runningDigest = 0;
  std::uint32_t runningCount = 0;
  std::vector<CommandJson> commands;
  std::vector<AttemptJson> acknowledged;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, BatchJson& aBatch) {
  aVisitor.Required("epoch", aBatch.epoch);
  aVisitor.Required("worker", aBatch.worker);
  aVisitor.Required("incarnation", aBatch.incarnation);
  aVisitor.Required("echoed_stamp", aBatch.echoedTimestamp);
  aVisitor.Required("lease_ms", aBatch.leaseMs);
  aVisitor.Required("renew_all", aBatch.renewAll);
  aVisitor.Required("running_digest", aBatch.runningDigest);
  aVisitor.Required("running_count", aBatch.runningCount);
  aVisitor.Required("commands", aBatch.commands);
  aVisitor.Required("acknowledged", aBatch.acknowledged);
}

// Represents a status or a confirmation of an attempt.
struct AttemptEventJson {
  AttemptJson attempt;
  std::string event;
  std::string checkpoint;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, AttemptEventJson& aEvent) {
  VisitFields(aVisitor, aEvent.attempt);
  aVisitor.Required("event", aEvent.event);
  aVisitor.Optional("checkpoint", aEvent.checkpoint);
}

struct MessageJson {
  std::string worker;
  std::uint64_t incarnation = 0;
  std::int64_t timestamp = 0;
  std::uint64_t runningDigest = 0;
  std::uint32_t runningCount = 0;
  std::vector<AttemptEventJson> statuses;
  std::vector<AttemptEventJson> confirmations;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, MessageJson& aMessage) {
  aVisitor.Required("worker", aMessage.worker);
  aVisitor.Required("incarnation", aMessage.incarnation);
  aVisitor.Required("stamp", aMessage.timestamp);
  aVisitor.Required("running_digest", aMessage.runningDigest);
  aVisitor.Required("running_count", aMessage.runningCount);
  aVisitor.Optional("statuses", aMessage.statuses);
  aVisitor.Optional("confirmations", aMessage.confirmations);
}

struct AnnounceJson {
  MessageJson message;
  std::string address;
  std::string rack;
  std::uint32_t processorsMilli = 0;
  std::uint32_t memoryMb = 0;
  std::uint32_t accelerators = 0;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, AnnounceJson& aAnnounce) {
  VisitFields(aVisitor, aAnnounce.message);
  aVisitor.Required("address", aAnnounce.address);
  aVisitor.Required("rack", aAnnounce.rack);
  aVisitor.Required("processors_milli", aAnnounce.processorsMilli);
  aVisitor.Required("memory_mb", aAnnounce.memoryMb);
  aVisitor.Required("accelerators", aAnnounce.accelerators);
}

struct UsageJson {
  AttemptJson attempt;
  std::uint32_t processorsMilli = 0;
  std::uint32_t memoryMb = 0;
  std::uint32_t p99Micros = 0;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, UsageJson& aUsage) {
  VisitFields(aVisitor, aUsage.attempt);
  aVisitor.Required("processors_milli", aUsage.processorsMilli);
  aVisitor.Required("memory_mb", aUsage.memoryMb);
  aVisitor.Optional("p99_micros", aUsage.p99Micros);
}

struct ReportJson {
  MessageJson message;
  std::int64_t sampleAgeMs = 0;
  std::vector<UsageJson> usage;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, ReportJson& aReport) {
  VisitFields(aVisitor, aReport.message);
  aVisitor.Required("sample_age_ms", aReport.sampleAgeMs);
  aVisitor.Optional("usage", aReport.usage);
}

AttemptJson ToDto(const cell::AttemptId& aAttempt) {
  return {aAttempt.task.job.value, aAttempt.task.index, aAttempt.number};
}

cell::AttemptId FromDto(const AttemptJson& aAttempt) {
  return {TaskId{JobId(aAttempt.job), aAttempt.index}, aAttempt.attempt};
}

MessageJson ToDto(const cell::WorkerMessage& aMessage) {
  MessageJson message;
  message.worker = aMessage.worker.value;
  message.incarnation = aMessage.incarnation;
  message.timestamp = aMessage.timestamp;
  message.runningDigest = aMessage.runningDigest;
  message.runningCount = aMessage.runningCount;
  for (const cell::AttemptStatus& status : aMessage.statuses) {
    message.statuses.push_back({ToDto(status.attempt),
                                ToName(status.state, kRunningStates),
                                status.checkpoint});
  }
  for (const cell::Confirmation& confirmation : aMessage.confirmations) {
    message.confirmations.push_back({ToDto(confirmation.attempt),
                                     ToName(confirmation.event, kEndEvents),
                                     confirmation.checkpoint});
  }
  return message;
}

std::optional<cell::WorkerMessage> FromDto(const MessageJson& aMessage,
                                           WireReason& aReason) {
  cell::WorkerMessage message;
  message.worker = WorkerId(aMessage.worker);
  message.incarnation = aMessage.incarnation;
  message.timestamp = aMessage.timestamp;
  message.runningDigest = aMessage.runningDigest;
  message.runningCount = aMessage.runningCount;
  for (const AttemptEventJson& event : aMessage.statuses) {
    cell::AttemptStatus status;
    status.attempt = FromDto(event.attempt);
    status.checkpoint = event.checkpoint;
    if (!FromName(event.event, kRunningStates, status.state)) {
      aReason = {"statuses", "\"" + event.event + "\" is not a known event"};
      return std::nullopt;
    }
    message.statuses.push_back(std::move(status));
  }
  for (const AttemptEventJson& event : aMessage.confirmations) {
    cell::Confirmation confirmation;
    confirmation.attempt = FromDto(event.attempt);
    confirmation.checkpoint = event.checkpoint;
    if (!FromName(event.event, kEndEvents, confirmation.event)) {
      aReason = {"confirmations",
                 "\"" + event.event + "\" is not a known event"};
      return std::nullopt;
    }
    message.confirmations.push_back(std::move(confirmation));
  }
  if (message.worker.empty()) {
    aReason = {"worker", "is empty"};
    return std::nullopt;
  }
  return message;
}

CommandJson ToDto(const cell::WorkerCommand& aCommand) {
  CommandJson command;
  command.kind = ToName(aCommand.kind, kCommandKinds);
  command.job = aCommand.attempt.task.job.value;
  command.index = aCommand.attempt.task.index;
  command.attempt = aCommand.attempt.number;
  command.clientAccount = aCommand.clientAccount.value;
  command.className = aCommand.classId.value;
  command.jobKind = ToName(aCommand.jobKind, kJobKinds);
  command.processorsMilli = aCommand.resources.processorsMilli;
  command.memoryMb = aCommand.resources.memoryMb;
  command.accelerators = aCommand.resources.accelerators;
  command.checkpoint = aCommand.checkpoint;
  command.sharePercent = aCommand.sharePercent;
  return command;
}

std::optional<cell::WorkerCommand> FromDto(const CommandJson& aCommand,
                                           WireReason& aReason) {
  cell::WorkerCommand command;
  if (!FromName(aCommand.kind, kCommandKinds, command.kind) ||
      !FromName(aCommand.jobKind, kJobKinds, command.jobKind)) {
    aReason = {"commands", "a kind is not known"};
    return std::nullopt;
  }
  command.attempt.task = TaskId{JobId(aCommand.job), aCommand.index};
  command.attempt.number = aCommand.attempt;
  command.clientAccount = ClientAccountId(aCommand.clientAccount);
  command.classId = ClassId(aCommand.className);
  command.resources = {aCommand.processorsMilli, aCommand.memoryMb,
                       aCommand.accelerators};
  command.checkpoint = aCommand.checkpoint;
  command.sharePercent = aCommand.sharePercent;
  return command;
}

}  // namespace

std::string ToJson(const WorkerAnnounce& aAnnounce) {
  AnnounceJson announce;
  announce.message = ToDto(aAnnounce.message);
  announce.address = aAnnounce.record.address;
  announce.rack = aAnnounce.record.rack.value;
  announce.processorsMilli = aAnnounce.record.processorsMilli;
  announce.memoryMb = aAnnounce.record.memoryMb;
  announce.accelerators = aAnnounce.record.accelerators;
  return codec::ToJson(announce).dump();
}

std::optional<WorkerAnnounce> ParseWorkerAnnounce(std::string_view aText,
                                                  WireReason& aReason) {
  const auto parsed = detail::ParseBody<AnnounceJson>(aText, aReason);
  if (!parsed) {
    return std::nullopt;
  }
  if (!net::IsCallableAddress(parsed->address)) {
    aReason = {"address", "must be an IPv4 address ip:port"};
    return std::nullopt;
  }
  if (!IsPlausible(
          {parsed->processorsMilli, parsed->memoryMb, parsed->accelerators})) {
    aReason = {"processors_milli", "or another capacity is out of range"};
    return std::nullopt;
  }
  const auto message = FromDto(parsed->message, aReason);
  if (!message) {
    return std::nullopt;
  }
  WorkerAnnounce announce;
  announce.message = *message;
  announce.record.worker = message->worker;
  announce.record.incarnation = message->incarnation;
  announce.record.address = parsed->address;
  announce.record.rack = RackId(parsed->rack);
  announce.record.processorsMilli = parsed->processorsMilli;
  announce.record.memoryMb = parsed->memoryMb;
  announce.record.accelerators = parsed->accelerators;
  return announce;
}

std::string ToJson(const WorkerReport& aReport) {
  ReportJson report;
  report.message = ToDto(aReport.message);
  report.sampleAgeMs = aReport.sampleAgeMs;
  for (const UsageSample& sample : aReport.usage) {
    report.usage.push_back({ToDto(sample.attempt), sample.processorsMilli,
                            sample.memoryMb, sample.p99Micros});
  }
  return codec::ToJson(report).dump();
}

std::optional<WorkerReport> ParseWorkerReport(std::string_view aText,
                                              WireReason& aReason) {
  const auto parsed = detail::ParseBody<ReportJson>(aText, aReason);
  if (!parsed) {
    return std::nullopt;
  }
  const auto message = FromDto(parsed->message, aReason);
  if (!message) {
    return std::nullopt;
  }
  WorkerReport report;
  report.message = *message;
  report.sampleAgeMs = parsed->sampleAgeMs;
  for (const UsageJson& sample : parsed->usage) {
    report.usage.push_back({FromDto(sample.attempt), sample.processorsMilli,
                            sample.memoryMb, sample.p99Micros});
  }
  return report;
}

std::string ToJson(const cell::CommandBatch& aBatch) {
  BatchJson batch;
  batch.epoch = aBatch.epoch;
  batch.worker = aBatch.worker.value;
  batch.incarnation = aBatch.incarnation;
  batch.echoedTimestamp = aBatch.echoedTimestamp;
  batch.leaseMs = aBatch.leaseMs;
  batch.renewAll = aBatch.renewAll;
  batch.runningDigest = aBatch.runningDigest;
  batch.runningCount = aBatch.runningCount;
  for (const cell::WorkerCommand& command : aBatch.commands) {
    batch.commands.push_back(ToDto(command));
  }
  for (const cell::AttemptId& attempt : aBatch.acknowledged) {
    batch.acknowledged.push_back(ToDto(attempt));
  }
  return codec::ToJson(batch).dump();
}

std::optional<cell::CommandBatch> ParseCommandBatch(std::string_view aText,
                                                    WireReason& aReason) {
  const auto parsed = detail::ParseBody<BatchJson>(aText, aReason);
  if (!parsed) {
    return std::nullopt;
  }
  cell::CommandBatch batch;
  batch.epoch = parsed->epoch;
  batch.worker = WorkerId(parsed->worker);
  batch.incarnation = parsed->incarnation;
  batch.echoedTimestamp = parsed->echoedTimestamp;
  batch.leaseMs = parsed->leaseMs;
  batch.renewAll = parsed->renewAll;
  batch.runningDigest = parsed->runningDigest;
  batch.runningCount = parsed->runningCount;
  for (const CommandJson& command : parsed->commands) {
    const auto decoded = FromDto(command, aReason);
    if (!decoded) {
      return std::nullopt;
    }
    batch.commands.push_back(*decoded);
  }
  for (const AttemptJson& attempt : parsed->acknowledged) {
    batch.acknowledged.push_back(FromDto(attempt));
  }
  return batch;
}

std::string ToJson(const cell::WorkerMessage& aMessage) {
  return codec::ToJson(ToDto(aMessage)).dump();
}

std::optional<cell::WorkerMessage> ParseWorkerMessage(std::string_view aText,
                                                      WireReason& aReason) {
  const auto parsed = detail::ParseBody<MessageJson>(aText, aReason);
  return parsed ? FromDto(*parsed, aReason) : std::nullopt;
}

}  // namespace bramleypath::wire
