#include "bramleypath/config/Address.h"

#include <arpa/inet.h>

#include <charconv>

namespace bramleypath::config {

namespace {

bool IsIp(int aFamily, const std::string& aText) {
  unsigned char buffer[sizeof(in6_addr)];
  return inet_pton(aFamily, aText.c_str(), buffer) == 1;
}

std::optional<std::uint16_t> ParsePort(std::string_view aText) {
  std::uint16_t port = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, port);
  if (error != std::errc() || stop != end || port == 0) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

std::optional<Address> ParseAddress(std::string_view aText) {
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = ParsePort(aText.substr(colon + 1));
  std::string_view ip = aText.substr(0, colon);
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  Address address{std::string(ip), port.value_or(0)};
  if (!port || !IsIp(bracketed ? AF_INET6 : AF_INET, address.ip)) {
    return std::nullopt;
  }
  return address;
}

std::string ToString(const Address& aAddress) {
  const bool isV6 = aAddress.ip.find(':') != std::string::npos;
  const std::string ip = isV6 ? "[" + aAddress.ip + "]" : aAddress.ip;
  return ip + ":" + std::to_string(aAddress.port);
}

}  // namespace bramleypath::config
