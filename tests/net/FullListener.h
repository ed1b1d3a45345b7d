#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <string>

namespace net_test {

// A listening socket on the loopback interface whose queue of connections is
// full, so that the kernel drops further attempts to connect, as for a host
// that is cut off.
class FullListener {
 public:
  FullListener() : listener(NewSocket()) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    ::bind(this->listener, generic, size);
    ::listen(this->listener, 0);
    ::getsockname(this->listener, generic, &size);
    this->port = ntohs(address.sin_port);
    for (int& filler : this->fillers) {
      filler = NewSocket();
      ::connect(filler, generic, size);
    }
  }
  ~FullListener() {
    for (const int filler : this->fillers) {
      ::close(filler);
    }
    ::close(this->listener);
  }
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }

 private:
  static int NewSocket() {
    return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  }

  int listener = -1;
  std::uint16_t port = 0;
  std::array<int, 3> fillers{};
};

}  // namespace net_test
