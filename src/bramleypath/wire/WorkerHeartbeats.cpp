#include "bramleypath/wire/WorkerHeartbeats.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace bramleypath::wire {

namespace {

using nlohmann::json;

constexpr std::size_t kHeartbeatFields = 5;
constexpr std::size_t kMaxNameBytes = 256;

std::string ToText(const json& aValue) {
  const std::vector<std::uint8_t> bytes = json::to_cbor(aValue);
  return {bytes.begin(), bytes.end()};
}

// Parses a CBOR array of at most kMaxHeartbeats items. Any other input gives a
// discarded value.
json ParseArray(std::string_view aBytes) {
  json array = json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  if (!array.is_array() || array.size() > kMaxHeartbeats) {
    return {json::value_t::discarded};
  }
  return array;
}

bool IsName(const json& aValue) {
  return aValue.is_string() &&
         aValue.get_ref<const std::string&>().size() <= kMaxNameBytes &&
         !aValue.get_ref<const std::string&>().empty();
}

std::optional<WorkerHeartbeat> ParseHeartbeat(const json& aRow) {
  if (!aRow.is_array() || aRow.size() != kHeartbeatFields || !IsName(aRow[0]) ||
      !aRow[1].is_number_unsigned() || !aRow[2].is_number_integer() ||
      !aRow[3].is_number_unsigned() || !aRow[4].is_number_unsigned()) {
    return std::nullopt;
  }
  WorkerHeartbeat heartbeat;
  heartbeat.worker = WorkerId(aRow[0].get<std::string>());
  heartbeat.incarnation = aRow[1].get<std::uint64_t>();
  heartbeat.timestamp = aRow[2].get<cell::WorkerTimestamp>();
  heartbeat.runningDigest = aRow[3].get<std::uint64_t>();
  heartbeat.runningCount = aRow[4].get<std::uint32_t>();
  return heartbeat;
}

}  // namespace

std::string EncodeHeartbeats(const std::vector<WorkerHeartbeat>& aBatch) {
  json array = json::array();
  for (const WorkerHeartbeat& heartbeat : aBatch) {
    array.push_back({heartbeat.worker.value, heartbeat.incarnation,
                     heartbeat.timestamp, heartbeat.runningDigest,
                     heartbeat.runningCount});
  }
  return ToText(array);
}

std::optional<std::vector<WorkerHeartbeat>> DecodeHeartbeats(
    std::string_view aBytes) {
  const json array = ParseArray(aBytes);
  if (array.is_discarded()) {
    return std::nullopt;
  }
  std::vector<WorkerHeartbeat> batch;
  batch.reserve(array.size());
  for (const json& row : array) {
    auto heartbeat = ParseHeartbeat(row);
    if (!heartbeat) {
      return std::nullopt;
    }
    batch.push_back(std::move(*heartbeat));
  }
  return batch;
}

std::string EncodeWorkerNames(const std::vector<WorkerId>& aWorkers) {
  json array = json::array();
  for (const WorkerId& worker : aWorkers) {
    array.push_back(worker.value);
  }
  return ToText(array);
}

std::optional<std::vector<WorkerId>> DecodeWorkerNames(
    std::string_view aBytes) {
  const json array = ParseArray(aBytes);
  if (array.is_discarded()) {
    return std::nullopt;
  }
  std::vector<WorkerId> workers;
  workers.reserve(array.size());
  for (const json& name : array) {
    if (!IsName(name)) {
      return std::nullopt;
    }
    workers.emplace_back(name.get<std::string>());
  }
  return workers;
}

}  // namespace bramleypath::wire
