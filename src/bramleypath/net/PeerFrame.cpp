#include "bramleypath/net/PeerFrame.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace bramleypath::net {

namespace {

using nlohmann::json;

bool ReadText(const json& aFrame, const char* aField, std::string& aText) {
  const auto found = aFrame.find(aField);
  if (found == aFrame.end() || !found->is_string()) {
    return false;
  }
  aText = found->get<std::string>();
  return true;
}

}  // namespace

Bytes EncodeFrame(const PeerFrame& aFrame) {
  const json frame{{"group", aFrame.group},
                   {"from", aFrame.from.value},
                   {"to", aFrame.to.value},
                   {"kind", aFrame.kind},
                   {"payload", json::binary(aFrame.payload)}};
  return json::to_cbor(frame);
}

std::optional<PeerFrame> DecodeFrame(const Bytes& aBytes) {
  json frame = json::from_cbor(aBytes, true, false);
  if (!frame.is_object()) {
    return std::nullopt;
  }
  PeerFrame result;
  const auto payload = frame.find("payload");
  if (!ReadText(frame, "group", result.group) ||
      !ReadText(frame, "from", result.from.value) ||
      !ReadText(frame, "to", result.to.value) ||
      !ReadText(frame, "kind", result.kind) || payload == frame.end() ||
      !payload->is_binary()) {
    return std::nullopt;
  }
  result.payload = std::move(payload->get_binary());
  return result;
}

}  // namespace bramleypath::net
