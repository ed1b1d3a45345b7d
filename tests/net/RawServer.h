#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace net_test {

// A TCP server that passes the data of each connection to a function of the
// test, which may answer it.
class RawServer {
 public:
  using Socket = asio::ip::tcp::socket;
  // Called with the connection, its number counted from 0, and a piece of data
  // that arrived on it.
  using OnData = std::function<void(std::shared_ptr<Socket>, std::size_t,
                                    const std::string&)>;

  RawServer(asio::io_context& aContext, OnData aOnData)
      : acceptor(aContext, {asio::ip::make_address("127.0.0.1"), 0}),
        onData(std::move(aOnData)) {
    this->Accept();
  }

  std::string Address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }
  std::size_t Connections() const { return this->sockets.size(); }
  void Close() {
    asio::error_code ignored;
    this->acceptor.close(ignored);
  }

 private:
  void Accept() {
    this->acceptor.async_accept(
        [this](const asio::error_code& aError, Socket aSocket) {
          if (aError) {
            return;
          }
          auto socket = std::make_shared<Socket>(std::move(aSocket));
          this->sockets.push_back(socket);
          this->Read(socket, this->sockets.size() - 1);
          this->Accept();
        });
  }

  void Read(const std::shared_ptr<Socket>& aSocket, std::size_t aNumber) {
    auto buffer = std::make_shared<std::array<char, 65536>>();
    aSocket->async_read_some(
        asio::buffer(*buffer),
        [this, aSocket, aNumber, buffer](const asio::error_code& aError,
                                         std::size_t aBytes) {
          if (aError) {
            return;
          }
          this->onData(aSocket, aNumber, std::string(buffer->data(), aBytes));
          if (aSocket->is_open()) {
            this->Read(aSocket, aNumber);
          }
        });
  }

  asio::ip::tcp::acceptor acceptor;
  OnData onData;
  std::vector<std::shared_ptr<Socket>> sockets;
};

inline void Write(RawServer::Socket& aSocket, const std::string& aText) {
  asio::error_code ignored;
  asio::write(aSocket, asio::buffer(aText), ignored);
}

inline void Close(RawServer::Socket& aSocket) {
  asio::error_code ignored;
  aSocket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  aSocket.close(ignored);
}

}  // namespace net_test
