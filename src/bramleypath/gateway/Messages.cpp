#include "bramleypath/gateway/Messages.h"

#include <utility>

#include "bramleypath/codec/CborCursor.h"
#include "bramleypath/codec/CborWriter.h"

namespace bramleypath::gateway {

namespace {

using codec::CborCursor;
using codec::CborWriter;
using workflow::TaskName;

// Numbers of items of the arrays. A message with another number of items is of
// another version and is ignored.
constexpr std::size_t kReadyFields = 2;
constexpr std::size_t kRequestsFields = 5;
constexpr std::size_t kRequestFields = 6;
constexpr std::size_t kAnswersFields = 4;
constexpr std::size_t kAnswerFields = 10;
constexpr std::size_t kTaskFields = 4;
constexpr std::size_t kStartFields = 7;
constexpr std::size_t kStopFields = 3;
constexpr std::size_t kPaceFields = 4;
constexpr std::size_t kRenewLeaseFields = 4;
constexpr std::size_t kRunningFields = 5;
constexpr std::size_t kEndedFields = 5;

constexpr std::size_t kExpectedRequestBytes = 96;
constexpr std::size_t kExpectedAnswerBytes = 128;

void Write(CborWriter& aWriter, const Stamp& aStamp) {
  aWriter.Value(aStamp.process);
  aWriter.Signed(aStamp.at.micros);
}

Stamp ReadStamp(CborCursor& aCursor) {
  Stamp stamp;
  stamp.process = aCursor.Unsigned();
  stamp.at.micros = aCursor.Signed();
  return stamp;
}

void Write(CborWriter& aWriter, const TaskName& aTask) {
  aWriter.Array(kTaskFields);
  aWriter.Text(aTask.job.value);
  aWriter.Value(aTask.occurrence);
  aWriter.Value(aTask.stage);
  aWriter.Value(aTask.index);
}

TaskName ReadTask(CborCursor& aCursor) {
  TaskName task;
  aCursor.ArrayOf(kTaskFields);
  task.job = JobId(aCursor.Text());
  task.occurrence = aCursor.Number<std::uint32_t>();
  task.stage = aCursor.Number<std::uint32_t>();
  task.index = aCursor.Number<std::uint32_t>();
  return task;
}

void Write(CborWriter& aWriter, const workflow::StartRequest& aStart) {
  aWriter.Array(kStartFields);
  Write(aWriter, aStart.task);
  aWriter.Value(aStart.attempt);
  aWriter.Text(aStart.specification);
  aWriter.Signed(aStart.untilWorkerMs);
  aWriter.Value(aStart.epoch);
  aWriter.Text(aStart.checkpoint);
  aWriter.Text(aStart.ticket);
}

void Read(CborCursor& aCursor, workflow::StartRequest& aStart) {
  aCursor.ArrayOf(kStartFields);
  aStart.task = ReadTask(aCursor);
  aStart.attempt = aCursor.Number<AttemptNumber>();
  aStart.specification = aCursor.Text();
  aStart.untilWorkerMs = aCursor.Signed();
  aStart.epoch = aCursor.Unsigned();
  aStart.checkpoint = aCursor.Text();
  aStart.ticket = aCursor.Text();
}

void Write(CborWriter& aWriter, const workflow::StopRequest& aStop) {
  aWriter.Array(kStopFields);
  Write(aWriter, aStop.task);
  aWriter.Value(aStop.attempt);
  aWriter.Value(aStop.epoch);
}

void Read(CborCursor& aCursor, workflow::StopRequest& aStop) {
  aCursor.ArrayOf(kStopFields);
  aStop.task = ReadTask(aCursor);
  aStop.attempt = aCursor.Number<AttemptNumber>();
  aStop.epoch = aCursor.Unsigned();
}

void Write(CborWriter& aWriter, const workflow::PaceRequest& aPace) {
  aWriter.Array(kPaceFields);
  Write(aWriter, aPace.task);
  aWriter.Value(aPace.attempt);
  aWriter.Value(aPace.percent);
  aWriter.Value(aPace.epoch);
}

void Read(CborCursor& aCursor, workflow::PaceRequest& aPace) {
  aCursor.ArrayOf(kPaceFields);
  aPace.task = ReadTask(aCursor);
  aPace.attempt = aCursor.Number<AttemptNumber>();
  aPace.percent = aCursor.Number<std::uint32_t>();
  aPace.epoch = aCursor.Unsigned();
}

void Write(CborWriter& aWriter, const workflow::RenewLeaseRequest& aRenewal) {
  aWriter.Array(kRenewLeaseFields);
  aWriter.Signed(aRenewal.untilWorkerMs);
  aWriter.Value(aRenewal.epoch);
  aWriter.Value(aRenewal.lastSeen);
  aWriter.Value(aRenewal.waitMs);
}

void Read(CborCursor& aCursor, workflow::RenewLeaseRequest& aRenewal) {
  aCursor.ArrayOf(kRenewLeaseFields);
  aRenewal.untilWorkerMs = aCursor.Signed();
  aRenewal.epoch = aCursor.Unsigned();
  aRenewal.lastSeen = aCursor.Unsigned();
  aRenewal.waitMs = aCursor.Number<std::uint32_t>();
}

// Reads the alternative of the given index.
template <std::size_t Index = 0>
RequestBody ReadBody(CborCursor& aCursor, std::uint64_t aIndex) {
  if constexpr (Index == std::variant_size_v<RequestBody>) {
    aCursor.good = false;
    return {};
  } else {
    if (aIndex != Index) {
      return ReadBody<Index + 1>(aCursor, aIndex);
    }
    std::variant_alternative_t<Index, RequestBody> body;
    Read(aCursor, body);
    return body;
  }
}

Request ReadRequest(CborCursor& aCursor) {
  Request request;
  aCursor.ArrayOf(kRequestFields);
  request.id = aCursor.Unsigned();
  request.worker = WorkerId(aCursor.Text());
  request.address = aCursor.Text();
  request.sendWithinMs = aCursor.Number<std::uint32_t>();
  const std::uint64_t kind = aCursor.Unsigned();
  request.body = ReadBody(aCursor, kind);
  return request;
}

void Write(CborWriter& aWriter, const workflow::RunningAttempt& aRunning) {
  aWriter.Array(kRunningFields);
  Write(aWriter, aRunning.task);
  aWriter.Value(aRunning.attempt);
  aWriter.Text(aRunning.checkpoint);
  aWriter.Value(aRunning.percent);
  aWriter.Value(aRunning.load);
}

void Read(CborCursor& aCursor, workflow::RunningAttempt& aRunning) {
  aCursor.ArrayOf(kRunningFields);
  aRunning.task = ReadTask(aCursor);
  aRunning.attempt = aCursor.Number<AttemptNumber>();
  aRunning.checkpoint = aCursor.Text();
  aRunning.percent = aCursor.Number<std::uint32_t>();
  aRunning.load = aCursor.Number<std::uint32_t>();
}

void Write(CborWriter& aWriter, const workflow::EndedAttempt& aEnded) {
  aWriter.Array(kEndedFields);
  aWriter.Value(aEnded.number);
  Write(aWriter, aEnded.task);
  aWriter.Value(aEnded.attempt);
  aWriter.Value(static_cast<std::uint8_t>(aEnded.kind));
  aWriter.Text(aEnded.checkpoint);
}

void Read(CborCursor& aCursor, workflow::EndedAttempt& aEnded) {
  constexpr auto kLastKind =
      static_cast<std::uint8_t>(workflow::EndKind::NeverRan);
  aCursor.ArrayOf(kEndedFields);
  aEnded.number = aCursor.Unsigned();
  aEnded.task = ReadTask(aCursor);
  aEnded.attempt = aCursor.Number<AttemptNumber>();
  aEnded.kind = static_cast<workflow::EndKind>(aCursor.Number(kLastKind));
  aEnded.checkpoint = aCursor.Text();
}

void Write(CborWriter& aWriter, const Answer& aAnswer);
void Read(CborCursor& aCursor, Answer& aAnswer);

template <typename T>
void WriteList(CborWriter& aWriter, const std::vector<T>& aItems) {
  aWriter.Array(aItems.size());
  for (const T& item : aItems) {
    Write(aWriter, item);
  }
}

template <typename T>
void ReadList(CborCursor& aCursor, std::vector<T>& aItems) {
  const std::size_t count = aCursor.Array();
  for (std::size_t i = 0; i < count && aCursor.good; ++i) {
    Read(aCursor, aItems.emplace_back());
  }
}

// Stands for the reason of an answer with isConnectionRefused. Earlier versions
// read it as any other reason; a field of its own would be unreadable to them.
constexpr std::string_view kConnectionRefused = "connection refused";

void Write(CborWriter& aWriter, const Answer& aAnswer) {
  const workflow::RequestAnswer& result = aAnswer.answer.result;
  aWriter.Array(kAnswerFields);
  aWriter.Value(aAnswer.id);
  aWriter.Value(aAnswer.rejected);
  aWriter.Value(static_cast<std::uint8_t>(result.outcome));
  aWriter.Value(result.delayedByLeader);
  aWriter.Text(result.isConnectionRefused ? kConnectionRefused
                                          : std::string_view(result.reason));
  aWriter.Signed(result.clockMs);
  aWriter.Signed(result.startedUnixMs);
  WriteList(aWriter, aAnswer.answer.running);
  WriteList(aWriter, aAnswer.answer.ended);
  aWriter.Value(aAnswer.answer.endsTruncated);
}

void Read(CborCursor& aCursor, Answer& aAnswer) {
  constexpr auto kLastOutcome =
      static_cast<std::uint8_t>(workflow::RequestOutcome::NoAnswer);
  workflow::RequestAnswer& result = aAnswer.answer.result;
  aCursor.ArrayOf(kAnswerFields);
  aAnswer.id = aCursor.Unsigned();
  aAnswer.rejected = aCursor.Boolean();
  result.outcome =
      static_cast<workflow::RequestOutcome>(aCursor.Number(kLastOutcome));
  result.delayedByLeader = aCursor.Boolean();
  result.reason = aCursor.Text();
  result.isConnectionRefused =
      result.outcome == workflow::RequestOutcome::NotSent &&
      result.reason == kConnectionRefused;
  result.clockMs = aCursor.Signed();
  result.startedUnixMs = aCursor.Signed();
  ReadList(aCursor, aAnswer.answer.running);
  ReadList(aCursor, aAnswer.answer.ended);
  aAnswer.answer.endsTruncated = aCursor.Boolean();
}

// Numbers, array heads and the heads of texts take at most nine bytes each.
constexpr std::size_t kMaxItemBytes = 9;
constexpr std::size_t kMaxTaskBytes = (kTaskFields + 1) * kMaxItemBytes;

std::size_t MaxTaskBytes(const TaskName& aTask) {
  return kMaxTaskBytes + aTask.job.value.size();
}

std::size_t MaxTextBytes(const workflow::StartRequest& aStart) {
  return aStart.specification.size() + aStart.checkpoint.size() +
         aStart.ticket.size();
}
template <typename Body>
std::size_t MaxTextBytes(const Body& /*aBody*/) {
  return 0;
}

std::size_t MaxBodyBytes(const workflow::RenewLeaseRequest& /*aRenewal*/) {
  return (kRenewLeaseFields + 1) * kMaxItemBytes;
}
template <typename Body>
std::size_t MaxBodyBytes(const Body& aBody) {
  return (kStartFields + 1) * kMaxItemBytes + MaxTaskBytes(aBody.task) +
         MaxTextBytes(aBody);
}

}  // namespace

std::size_t MaxEncodedBytes(const Request& aRequest) {
  return (kRequestFields + 1) * kMaxItemBytes + aRequest.worker.value.size() +
         aRequest.address.size() +
         std::visit([](const auto& aBody) { return MaxBodyBytes(aBody); },
                    aRequest.body);
}

std::size_t MaxEncodedBytes(const Answer& aAnswer) {
  std::size_t size = (kAnswerFields + 1) * kMaxItemBytes +
                     kConnectionRefused.size() +
                     aAnswer.answer.result.reason.size();
  for (const workflow::RunningAttempt& running : aAnswer.answer.running) {
    size += (kRunningFields + 1) * kMaxItemBytes + MaxTaskBytes(running.task) +
            running.checkpoint.size();
  }
  for (const workflow::EndedAttempt& ended : aAnswer.answer.ended) {
    size += (kEndedFields + 1) * kMaxItemBytes + MaxTaskBytes(ended.task) +
            ended.checkpoint.size();
  }
  return size;
}

Bytes EncodeReady(const Ready& aReady) {
  Bytes bytes;
  CborWriter writer{bytes};
  writer.Array(kReadyFields);
  Write(writer, aReady.stamp);
  return bytes;
}

std::optional<Ready> DecodeReady(gsl::span<const std::uint8_t> aBytes) {
  CborCursor cursor{aBytes};
  Ready ready;
  cursor.ArrayOf(kReadyFields);
  ready.stamp = ReadStamp(cursor);
  return cursor.IsFinished() ? std::optional(ready) : std::nullopt;
}

Bytes EncodeRequests(const Requests& aRequests) {
  Bytes bytes;
  bytes.reserve(kExpectedRequestBytes * (aRequests.requests.size() + 1));
  CborWriter writer{bytes};
  writer.Array(kRequestsFields);
  writer.Value(aRequests.session);
  Write(writer, aRequests.stamp);
  writer.Value(aRequests.stampAgeMs);
  writer.Array(aRequests.requests.size());
  for (const Request& request : aRequests.requests) {
    writer.Array(kRequestFields);
    writer.Value(request.id);
    writer.Text(request.worker.value);
    writer.Text(request.address);
    writer.Value(request.sendWithinMs);
    writer.Value(request.body.index());
    std::visit([&writer](const auto& aBody) { Write(writer, aBody); },
               request.body);
  }
  return bytes;
}

std::optional<Requests> DecodeRequests(gsl::span<const std::uint8_t> aBytes) {
  CborCursor cursor{aBytes};
  Requests requests;
  cursor.ArrayOf(kRequestsFields);
  requests.session = cursor.Unsigned();
  requests.stamp = ReadStamp(cursor);
  requests.stampAgeMs = cursor.Number<std::uint32_t>();
  const std::size_t count = cursor.Array();
  for (std::size_t i = 0; i < count && cursor.good; ++i) {
    requests.requests.push_back(ReadRequest(cursor));
  }
  return cursor.IsFinished() ? std::optional(std::move(requests))
                             : std::nullopt;
}

Bytes EncodeAnswers(const Answers& aAnswers) {
  Bytes bytes;
  bytes.reserve(kExpectedAnswerBytes * (aAnswers.answers.size() + 1));
  CborWriter writer{bytes};
  writer.Array(kAnswersFields);
  writer.Value(aAnswers.session);
  Write(writer, aAnswers.stamp);
  WriteList(writer, aAnswers.answers);
  return bytes;
}

std::optional<Answers> DecodeAnswers(gsl::span<const std::uint8_t> aBytes) {
  CborCursor cursor{aBytes};
  Answers answers;
  cursor.ArrayOf(kAnswersFields);
  answers.session = cursor.Unsigned();
  answers.stamp = ReadStamp(cursor);
  ReadList(cursor, answers.answers);
  return cursor.IsFinished() ? std::optional(std::move(answers)) : std::nullopt;
}

}  // namespace bramleypath::gateway
