#include "bramleypath/net/Http.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>
#include <charconv>

#include <nlohmann/json.hpp>

namespace bramleypath::net {

namespace {

bool EqualIgnoringCase(std::string_view aLeft, std::string_view aRight) {
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
                    [](unsigned char aOne, unsigned char aOther) {
                      return std::tolower(aOne) == std::tolower(aOther);
                    });
}

}  // namespace

const std::string* FindHeader(const std::vector<Header>& aHeaders,
                              std::string_view aName) {
  for (const Header& header : aHeaders) {
    if (EqualIgnoringCase(header.name, aName)) {
      return &header.value;
    }
  }
  return nullptr;
}

std::string FindQueryValue(std::string_view aQuery, std::string_view aName) {
  while (!aQuery.empty()) {
    const std::size_t end = std::min(aQuery.find('&'), aQuery.size());
    const std::string_view pair = aQuery.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
      return std::string(pair.substr(equals + 1));
    }
    aQuery.remove_prefix(std::min(end + 1, aQuery.size()));
  }
  return {};
}

bool SplitAddress(std::string_view aText, std::string& aIp,
                  std::uint16_t& aPort) {
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  const std::string_view port = aText.substr(colon + 1);
  const char* const end = port.data() + port.size();
  const auto parsed = std::from_chars(port.data(), end, aPort);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return false;
  }
  aIp = std::string(aText.substr(0, colon));
  return true;
}

bool IsCallableAddress(std::string_view aText) {
  std::string ip;
  std::uint16_t port = 0;
  in_addr binary = {};
  return SplitAddress(aText, ip, port) && port != 0 &&
         inet_pton(AF_INET, ip.c_str(), &binary) == 1;
}

HttpResponse JsonResponse(std::uint32_t aStatus, const nlohmann::json& aBody) {
  HttpResponse response;
  response.status = aStatus;
  response.body =
      aBody.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

HttpResponse ErrorResponse(std::uint32_t aStatus, std::string_view aField,
                           std::string_view aDetail) {
  nlohmann::json body{{"error", aDetail}};
  if (!aField.empty()) {
    body["field"] = aField;
  }
  return JsonResponse(aStatus, body);
}

}  // namespace bramleypath::net
