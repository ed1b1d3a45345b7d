#include "bramleypath/cell/Command.h"

#include <utility>

#include "bramleypath/cell/internal/CborReader.h"

namespace bramleypath::cell {

namespace {

using namespace detail;

// Each Fields overload returns the fields that follow the kind of the command.
Json Fields(const SubmitJob& aCommand) {
  return Json::array({aCommand.request.value, Write(aCommand.spec)});
}

Json Fields(const CancelJobs& aCommand) {
  Json jobs = Json::array();
  for (const JobId& job : aCommand.jobs) {
    jobs.push_back(job.value);
  }
  return Json::array({aCommand.request.value, std::move(jobs)});
}

Json Fields(const RegisterWorker& aCommand) {
  return Json::array({aCommand.worker.value, aCommand.incarnation,
                      Write(aCommand.capacity), aCommand.rack.value});
}

Json Fields(const RemoveWorker& aCommand) {
  return Json::array({aCommand.worker.value, aCommand.incarnation});
}

Json Fields(const StartAttempt& aCommand) {
  return Json::array({Write(aCommand.attempt), aCommand.worker.value,
                      aCommand.incarnation, Write(aCommand.resources),
                      aCommand.checkpoint});
}

Json Fields(const EndAttempt& aCommand) {
  return Json::array({Write(aCommand.attempt),
                      static_cast<unsigned>(aCommand.kind), aCommand.checkpoint,
                      aCommand.countsAgainstTask});
}

Json Fields(const MarkAttempt& aCommand) {
  return Json::array(
      {Write(aCommand.attempt), static_cast<unsigned>(aCommand.mark)});
}

Json Fields(const SetQuotas& aCommand) {
  Json quotas = Json::array();
  for (const ClientAccountQuota& quota : aCommand.quotas) {
    quotas.push_back(
        Json::array({quota.clientAccount.value, Write(quota.limit)}));
  }
  return Json::array({std::move(quotas)});
}

SubmitJob ReadSubmitJob(ArrayReader& aReader) {
  SubmitJob command;
  command.request = RequestId(ReadText(aReader));
  command.spec = ReadJobSpec(aReader);
  return command;
}

CancelJobs ReadCancelJobs(ArrayReader& aReader) {
  CancelJobs command;
  command.request = RequestId(ReadText(aReader));
  command.jobs = ReadNested(aReader, [](ArrayReader& aInner) {
    std::vector<JobId> jobs;
    while (HasMore(aInner)) {
      jobs.emplace_back(ReadText(aInner));
    }
    return jobs;
  });
  return command;
}

RegisterWorker ReadRegisterWorker(ArrayReader& aReader) {
  RegisterWorker command;
  command.worker = WorkerId(ReadText(aReader));
  command.incarnation = ReadUnsigned(aReader);
  command.capacity = ReadResources(aReader);
  command.rack = RackId(ReadText(aReader));
  return command;
}

RemoveWorker ReadRemoveWorker(ArrayReader& aReader) {
  RemoveWorker command;
  command.worker = WorkerId(ReadText(aReader));
  command.incarnation = ReadUnsigned(aReader);
  return command;
}

StartAttempt ReadStartAttempt(ArrayReader& aReader) {
  StartAttempt command;
  command.attempt = ReadAttemptId(aReader);
  command.worker = WorkerId(ReadText(aReader));
  command.incarnation = ReadUnsigned(aReader);
  command.resources = ReadResources(aReader);
  command.checkpoint = ReadText(aReader);
  return command;
}

EndAttempt ReadEndAttempt(ArrayReader& aReader) {
  EndAttempt command;
  command.attempt = ReadAttemptId(aReader);
  command.kind = ReadEnum(aReader, EndKind::LeaseExpired);
  command.checkpoint = ReadText(aReader);
  command.countsAgainstTask = ReadBool(aReader);
  return command;
}

MarkAttempt ReadMarkAttempt(ArrayReader& aReader) {
  MarkAttempt command;
  command.attempt = ReadAttemptId(aReader);
  command.mark = ReadEnum(aReader, AttemptMark::Evict);
  return command;
}

SetQuotas ReadSetQuotas(ArrayReader& aReader) {
  SetQuotas command;
  command.quotas = ReadNested(aReader, [](ArrayReader& aInner) {
    std::vector<ClientAccountQuota> quotas;
    while (HasMore(aInner)) {
      quotas.push_back(ReadNested(aInner, [](ArrayReader& aRow) {
        ClientAccountQuota quota;
        quota.clientAccount = ClientAccountId(ReadText(aRow));
        quota.limit = ReadResources(aRow);
        return quota;
      }));
    }
    return quotas;
  });
  return command;
}

// aKind is the index of the command's type in the variant.
Command ReadCommand(std::uint64_t aKind, ArrayReader& aReader) {
  switch (aKind) {
    case 0:
      return ReadSubmitJob(aReader);
    case 1:
      return ReadCancelJobs(aReader);
    case 2:
      return ReadRegisterWorker(aReader);
    case 3:
      return ReadRemoveWorker(aReader);
    case 4:
      return ReadStartAttempt(aReader);
    case 5:
      return ReadEndAttempt(aReader);
    case 6:
      return ReadMarkAttempt(aReader);
    case 7:
      return ReadSetQuotas(aReader);
    default:
      aReader.ok = false;
      return SetQuotas{};
  }
}

}  // namespace

std::vector<std::uint8_t> EncodeCommand(const Command& aCommand) {
  Json fields =
      std::visit([](const auto& aTyped) { return Fields(aTyped); }, aCommand);
  return Json::to_cbor(Json::array({aCommand.index(), std::move(fields)}));
}

std::optional<Command> DecodeCommand(gsl::span<const std::uint8_t> aBytes) {
  const std::optional<Json> json = ParseArray(aBytes);
  if (!json) {
    return std::nullopt;
  }
  ArrayReader reader = OpenArray(*json);
  const std::uint64_t kind = ReadUnsigned(reader);
  Command command = ReadNested(reader, [kind](ArrayReader& aInner) {
    return ReadCommand(kind, aInner);
  });
  if (!IsFullyRead(reader)) {
    return std::nullopt;
  }
  return command;
}

}  // namespace bramleypath::cell
