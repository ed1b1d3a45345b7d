#include "bramleypath/cell/internal/CborReader.h"

#include <limits>
#include <utility>

namespace bramleypath::cell::detail {

namespace {

// Returns the next element, or null with ok cleared if there is none.
const Json* Next(ArrayReader& aReader) {
  if (!aReader.ok || aReader.next >= aReader.array->size()) {
    aReader.ok = false;
    return nullptr;
  }
  return &(*aReader.array)[aReader.next++];
}

}  // namespace

ArrayReader OpenArray(const Json& aJson) {
  ArrayReader reader;
  reader.array = &aJson;
  reader.ok = aJson.is_array();
  return reader;
}

std::uint64_t ReadUnsigned(ArrayReader& aReader) {
  const Json* value = Next(aReader);
  if (value == nullptr || !value->is_number_unsigned()) {
    aReader.ok = false;
    return 0;
  }
  return value->get<std::uint64_t>();
}

std::uint32_t ReadUnsigned32(ArrayReader& aReader) {
  const std::uint64_t value = ReadUnsigned(aReader);
  if (value > std::numeric_limits<std::uint32_t>::max()) {
    aReader.ok = false;
    return 0;
  }
  return static_cast<std::uint32_t>(value);
}

std::int64_t ReadSigned(ArrayReader& aReader) {
  const Json* value = Next(aReader);
  if (value == nullptr || !value->is_number_integer()) {
    aReader.ok = false;
    return 0;
  }
  return value->get<std::int64_t>();
}

bool ReadBool(ArrayReader& aReader) {
  const Json* value = Next(aReader);
  if (value == nullptr || !value->is_boolean()) {
    aReader.ok = false;
    return false;
  }
  return value->get<bool>();
}

std::string ReadText(ArrayReader& aReader) {
  const Json* value = Next(aReader);
  if (value == nullptr || !value->is_string()) {
    aReader.ok = false;
    return "";
  }
  return value->get<std::string>();
}

ArrayReader ReadArray(ArrayReader& aReader) {
  static const Json kEmpty = Json::array();
  const Json* value = Next(aReader);
  if (value == nullptr || !value->is_array()) {
    aReader.ok = false;
    ArrayReader reader = OpenArray(kEmpty);
    reader.ok = false;
    return reader;
  }
  return OpenArray(*value);
}

bool HasMore(const ArrayReader& aReader) {
  return aReader.ok && aReader.next < aReader.array->size();
}

bool IsFullyRead(const ArrayReader& aReader) {
  return aReader.ok && aReader.next == aReader.array->size();
}

Json Write(const Resources& aResources) {
  return Json::array({aResources.processorsMilli, aResources.memoryMb,
                      aResources.accelerators});
}

Json Write(const JobSpec& aSpec) {
  return Json::array({aSpec.id.value, aSpec.clientAccount.value,
                      aSpec.classId.value, static_cast<unsigned>(aSpec.kind),
                      aSpec.urgent, aSpec.checkpointable, aSpec.rackSpread,
                      aSpec.taskCount, aSpec.evictionBudget,
                      Write(aSpec.perTask), aSpec.declaredRunMs});
}

Json Write(const AttemptId& aAttempt) {
  return Json::array(
      {aAttempt.task.job.value, aAttempt.task.index, aAttempt.number});
}

Resources ReadResources(ArrayReader& aReader) {
  return ReadNested(aReader, [](ArrayReader& aInner) {
    Resources resources;
    resources.processorsMilli = ReadSigned(aInner);
    resources.memoryMb = ReadSigned(aInner);
    resources.accelerators = ReadSigned(aInner);
    return resources;
  });
}

JobSpec ReadJobSpec(ArrayReader& aReader) {
  return ReadNested(aReader, [](ArrayReader& aInner) {
    JobSpec spec;
    spec.id = JobId(ReadText(aInner));
    spec.clientAccount = ClientAccountId(ReadText(aInner));
    spec.classId = ClassId(ReadText(aInner));
    spec.kind = ReadEnum(aInner, JobKind::Service);
    spec.urgent = ReadBool(aInner);
    spec.checkpointable = ReadBool(aInner);
    spec.rackSpread = ReadBool(aInner);
    spec.taskCount = ReadUnsigned32(aInner);
    spec.evictionBudget = ReadUnsigned32(aInner);
    spec.perTask = ReadResources(aInner);
    spec.declaredRunMs = ReadSigned(aInner);
    return spec;
  });
}

AttemptId ReadAttemptId(ArrayReader& aReader) {
  return ReadNested(aReader, [](ArrayReader& aInner) {
    AttemptId attempt;
    attempt.task.job = JobId(ReadText(aInner));
    attempt.task.index = ReadUnsigned32(aInner);
    attempt.number = ReadUnsigned32(aInner);
    return attempt;
  });
}

std::optional<Json> ParseArray(gsl::span<const std::uint8_t> aBytes) {
  Json json = Json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  if (!json.is_array()) {
    return std::nullopt;
  }
  return json;
}

}  // namespace bramleypath::cell::detail
