#include "bramleypath/net/HttpListener.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <unordered_map>
#include <utility>

#include <restinio/all.hpp>

#include "bramleypath/codec/Bounded.h"
#include "bramleypath/net/BoundedSocket.h"
#include "bramleypath/net/Clock.h"
#include "bramleypath/net/ConnectionRegistry.h"

namespace bramleypath::net {

namespace {

using RequestHandle = restinio::request_handle_t;
using TrackedPointer = std::shared_ptr<detail::TrackedConnection>;

// Connections that are accepted in one turn of the event loop. With one, a turn
// that takes 50 ms lets only 20 callers in per second, however many wait. They
// may exceed the connection limit until the next turn, so small listeners
// accept fewer.
std::size_t AcceptsPerTurn(const HttpLimits& aLimits) {
  constexpr std::size_t kMost = 64;
  constexpr std::size_t kLimitPart = 4;
  return std::clamp(aLimits.maxConnections / kLimitPart, std::size_t{1}, kMost);
}

// Roughly the status line and headers of a response.
constexpr std::size_t kResponseHeadBytes = 256;
// A request that is being handled is held by the server, by the handler and by
// the HTTP client that forwards it. The charge of the first is twice its bytes.
constexpr std::size_t kHandledCopies = 2;
// Callers that were refused for lack of memory may try again after this time.
constexpr const char* kRetryAfterSeconds = "1";

// Reason phrases of the status codes that the daemon itself uses.
const char* ReasonPhrase(std::uint32_t aStatus) {
  switch (aStatus) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::chrono::microseconds ToChrono(Duration aLength) {
  return std::chrono::microseconds(aLength.micros);
}

// The open connections of one listener: when each was accepted, and its
// registration.
class OpenConnections {
 public:
  OpenConnections(detail::ConnectionRegistry& aRegistry,
                  std::size_t aMaxConnections)
      : registry(aRegistry),
        listener(aRegistry.NextListener()),
        maxConnections(aMaxConnections) {}

  void state_changed(  // NOLINT
      const restinio::connection_state::notice_t& aNotice) noexcept {
    using Accepted = restinio::connection_state::accepted_t;
    if (restinio::holds_alternative<Accepted>(aNotice.cause())) {
      ++this->accepted;
      this->open[aNotice.connection_id()] = {Now(), this->registry.starting};
      this->registry.starting->SetListener(this->listener,
                                           this->maxConnections);
    } else {
      this->open.erase(aNotice.connection_id());
    }
  }

  TimePoint AcceptedAt(restinio::connection_id_t aConnection) const {
    const auto found = this->open.find(aConnection);
    return found == this->open.end() ? TimePoint() : found->second.acceptedAt;
  }
  // Null when the connection is closed.
  TrackedPointer Find(restinio::connection_id_t aConnection) const {
    const auto found = this->open.find(aConnection);
    return found == this->open.end() ? nullptr : found->second.tracked;
  }
  std::uint64_t Accepted() const { return this->accepted; }

 private:
  struct OpenConnection {
    TimePoint acceptedAt;
    TrackedPointer tracked;
  };

  detail::ConnectionRegistry& registry;
  std::uint32_t listener;
  std::size_t maxConnections;
  std::uint64_t accepted = 0;
  std::unordered_map<restinio::connection_id_t, OpenConnection> open;
};

struct ListenerTraits : restinio::default_single_thread_traits_t {
  static constexpr bool use_connection_count_limiter = true;  // NOLINT
  using connection_state_listener_t = OpenConnections;        // NOLINT
  using stream_socket_t = detail::BoundedSocket;              // NOLINT
};
using Server = restinio::http_server_t<ListenerTraits>;

// Keeps servers alive until the context has destroyed its handlers, since the
// handlers of connections that are still open refer to their server.
class ServerKeeper : public asio::execution_context::service {
 public:
  inline static asio::execution_context::id id;  // NOLINT
  explicit ServerKeeper(asio::execution_context& aContext)
      : asio::execution_context::service(aContext) {}
  void Keep(std::shared_ptr<Server> aServer) {
    this->servers.push_back(std::move(aServer));
  }

 private:
  void shutdown() override {}  // NOLINT
  std::vector<std::shared_ptr<Server>> servers;
};

HttpRequest ToRequest(const restinio::request_t& aRequest) {
  HttpRequest request;
  request.method = aRequest.header().method().c_str();
  const auto path = aRequest.header().path();
  const auto query = aRequest.header().query();
  request.path.assign(path.data(), path.size());
  request.query.assign(query.data(), query.size());
  aRequest.header().for_each_field([&request](const auto& aField) {
    request.headers.push_back(Header{aField.name(), aField.value()});
  });
  request.body = aRequest.body();
  return request;
}

}  // namespace

struct HttpListener::State {
  State(asio::io_context& aContext, std::string aAddress,
        const HttpLimits& aLimits, HttpHandler aHandler)
      : context(aContext),
        address(std::move(aAddress)),
        limits(aLimits),
        handler(std::move(aHandler)),
        registry(asio::use_service<detail::ConnectionRegistry>(aContext)),
        connections(std::make_shared<OpenConnections>(
            this->registry, aLimits.maxConnections)) {}

  asio::io_context& context;
  std::string address;
  std::string boundAddress;
  HttpLimits limits;
  HttpHandler handler;
  detail::ConnectionRegistry& registry;
  std::shared_ptr<OpenConnections> connections;
  std::shared_ptr<Server> server;
  HttpListenerCounters counters;
  std::size_t openRequests = 0;
  bool closeConnections = false;
  TimePoint lastRequestAt;
  double rateTokens = 0;
  TimePoint rateAt;
};

struct HttpResponder::Exchange {
  using ListenerState = std::weak_ptr<void>;

  ~Exchange() {
    if (this->request) {
      this->Finish(ErrorResponse(500, "", "the request was not handled"));
    }
  }

  void Finish(HttpResponse aResponse) {
    const RequestHandle handle = std::move(this->request);
    this->request.reset();
    try {
      this->Write(*handle, std::move(aResponse));
    } catch (const std::exception&) {
      // The connection is closed, so the response cannot be sent.
      this->done();
    }
  }

  void Write(restinio::request_t& aRequest, HttpResponse aResponse) {
    this->charge.reset();
    if (this->connection) {
      this->connection->OnResponse(kResponseHeadBytes + aResponse.body.size());
    }
    auto response = aRequest.create_response(restinio::http_status_line_t{
        restinio::http_status_code_t{
            static_cast<std::uint16_t>(aResponse.status)},
        ReasonPhrase(aResponse.status)});
    if (this->close() || !aRequest.header().should_keep_alive()) {
      response.connection_close();
    } else {
      response.connection_keep_alive();
    }
    if (!aResponse.contentType.empty()) {
      response.append_header(restinio::http_field::content_type,
                             aResponse.contentType);
    }
    for (Header& header : aResponse.headers) {
      response.append_header(header.name, header.value);
    }
    response.set_body(std::move(aResponse.body));
    response.done(
        [finished = this->done, connection = this->connection](const auto&) {
          if (connection) {
            connection->OnResponseDone();
          }
          finished();
        });
  }

  RequestHandle request;
  TrackedPointer connection;
  // Held until the request is answered.
  std::shared_ptr<detail::HandledCharge> charge;
  // Whether the connection is to be closed after the response.
  std::function<bool()> close;
  // Called once when the response was written or could not be.
  std::function<void()> done;
};

HttpResponder::HttpResponder(std::shared_ptr<Exchange> aExchange)
    : exchange(std::move(aExchange)) {}

void HttpResponder::Send(HttpResponse aResponse) const {
  if (this->exchange->request) {
    this->exchange->Finish(std::move(aResponse));
  }
}

namespace {

bool ConsumeRateToken(const HttpLimits& aLimits, double& aTokens,
                      TimePoint& aRefilledAt, TimePoint aNow) {
  if (aLimits.maxRequestsPerSecond <= 0) {
    return true;
  }
  constexpr double kMicrosPerSecond = 1e6;
  const double elapsed =
      static_cast<double>((aNow - aRefilledAt).micros) / kMicrosPerSecond;
  aTokens = std::min(aLimits.maxRequestsPerSecond,
                     aTokens + elapsed * aLimits.maxRequestsPerSecond);
  aRefilledAt = aNow;
  if (aTokens < 1) {
    return false;
  }
  aTokens -= 1;
  return true;
}

bool HasTooManyValues(const restinio::request_t& aRequest,
                      const HttpLimits& aLimits) {
  return aLimits.maxBodyValues > 0 &&
         !codec::HasValuesWithin(aRequest.body(), aLimits.maxBodyValues);
}

}  // namespace

HttpListener::HttpListener(asio::io_context& aContext, std::string aAddress,
                           const HttpLimits& aLimits, HttpHandler aHandler)
    : state(std::make_shared<State>(aContext, std::move(aAddress), aLimits,
                                    std::move(aHandler))) {}

HttpListener::~HttpListener() { this->StopAccepting(); }

bool HttpListener::Open(NetReason& aReason) {
  std::string ip;
  std::uint16_t port = 0;
  std::error_code error;
  asio::ip::address parsed;
  if (SplitAddress(this->state->address, ip, port)) {
    parsed = asio::ip::make_address(ip, error);
  }
  if (ip.empty() || error) {
    aReason = {NetError::InvalidAddress,
               "\"" + this->state->address + "\" is not an address ip:port"};
    return false;
  }
  const std::weak_ptr<State> weak = this->state;
  auto onRequest = [weak](const RequestHandle& aHandle) {
    const std::shared_ptr<State> state = weak.lock();
    if (!state || aHandle->header().connection() ==
                      restinio::http_connection_header_t::upgrade) {
      return restinio::request_rejected();
    }
    const TimePoint now = Now();
    ++state->counters.requests;
    ++state->openRequests;
    state->lastRequestAt = now;
    const bool tooLarge = aHandle->body().size() > state->limits.maxBodyBytes;
    auto exchange = std::make_shared<HttpResponder::Exchange>();
    exchange->request = aHandle;
    exchange->connection = state->connections->Find(aHandle->connection_id());
    const std::size_t received =
        exchange->connection ? exchange->connection->OnRequest() : 0;
    exchange->close = [weak, tooLarge] {
      const std::shared_ptr<State> listener = weak.lock();
      return tooLarge || !listener || listener->closeConnections;
    };
    exchange->done = [weak] {
      if (const std::shared_ptr<State> listener = weak.lock()) {
        --listener->openRequests;
      }
    };
    const HttpResponder responder(exchange);
    if (tooLarge) {
      ++state->counters.tooLarge;
      responder.Send(ErrorResponse(
          413, "body",
          "the body has " + std::to_string(aHandle->body().size()) +
              " bytes; the limit is " +
              std::to_string(state->limits.maxBodyBytes)));
    } else if (!ConsumeRateToken(state->limits, state->rateTokens,
                                 state->rateAt, now)) {
      ++state->counters.rateLimited;
      responder.Send(ErrorResponse(429, "", "too many requests per second"));
    } else if (HasTooManyValues(*aHandle, state->limits)) {
      ++state->counters.tooLarge;
      responder.Send(ErrorResponse(
          413, "body",
          "the body has more than " +
              std::to_string(state->limits.maxBodyValues) + " JSON values"));
    } else if (!(exchange->charge =
                     state->registry.AdmitRequest(kHandledCopies * received))) {
      HttpResponse refusal =
          ErrorResponse(503, "", "too many requests are being handled");
      refusal.headers.push_back({"Retry-After", kRetryAfterSeconds});
      responder.Send(std::move(refusal));
    } else {
      HttpRequest request = ToRequest(*aHandle);
      request.connectedAt =
          state->connections->AcceptedAt(aHandle->connection_id());
      request.receivedAt = now;
      state->handler(std::move(request), responder);
    }
    return restinio::request_accepted();
  };
  const HttpLimits& limits = this->state->limits;
  this->state->rateTokens = limits.maxRequestsPerSecond;
  this->state->rateAt = Now();
  try {
    auto configure = [&](auto& aSettings) {
      aSettings.address(parsed)
          .port(port)
          .request_handler(onRequest)
          .connection_state_listener(this->state->connections)
          // New connections are accepted above the limit, and others closed.
          .max_parallel_connections(limits.maxConnections +
                                    AcceptsPerTurn(limits))
          .concurrent_accepts_count(AcceptsPerTurn(limits))
          .read_next_http_message_timelimit(ToChrono(limits.idleTimeout))
          .write_http_response_timelimit(ToChrono(limits.writeTimeout))
          .handle_request_timeout(ToChrono(limits.handleTimeout))
          .socket_options_setter([](auto& aOptions) {
            asio::error_code ignored;  // the connection may be reset already
            aOptions.set_option(asio::ip::tcp::no_delay(true), ignored);
          })
          .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& aBound) {
            const auto endpoint = aBound.local_endpoint();
            this->state->boundAddress = endpoint.address().to_string() + ":" +
                                        std::to_string(endpoint.port());
          })
          .incoming_http_msg_limits(
              restinio::incoming_http_msg_limits_t{}
                  .max_url_size(limits.maxUrlBytes)
                  .max_field_name_size(256)
                  .max_field_value_size(limits.maxHeaderValueBytes)
                  .max_field_count(limits.maxHeaders)
                  .max_body_size(
                      std::max(limits.maxReadBytes, limits.maxBodyBytes)));
    };
    this->state->server = std::make_shared<Server>(
        restinio::external_io_context(this->state->context), configure);
    asio::use_service<ServerKeeper>(this->state->context)
        .Keep(this->state->server);
    this->state->server->open_sync();
  } catch (const std::exception& failure) {
    aReason = {NetError::CannotBind,
               this->state->address + ": " + failure.what()};
    return false;
  }
  return true;
}

std::string HttpListener::BoundAddress() const {
  return this->state->boundAddress;
}

void HttpListener::CloseConnectionsAfterResponse() {
  this->state->closeConnections = true;
}

void HttpListener::StopAccepting() {
  if (this->state->server) {
    this->state->server->close_sync();
  }
}

std::size_t HttpListener::OpenRequests() const {
  return this->state->openRequests;
}

TimePoint HttpListener::LastRequestAt() const {
  return this->state->lastRequestAt;
}

const HttpListenerCounters& HttpListener::Counters() const {
  this->state->counters.connections = this->state->connections->Accepted();
  return this->state->counters;
}

}  // namespace bramleypath::net
