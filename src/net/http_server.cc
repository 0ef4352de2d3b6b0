#include "http_server.h"

#include <sys/resource.h>

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <restinio/all.hpp>
#include <unordered_map>

#include "../text_func.h"

namespace bw::net {
namespace {

using Tcp = asio::ip::tcp;
using Endpoint = Tcp::endpoint;

/// Requests of one connection that are received before they are answered.
constexpr size_t kMaxPipelined = 4;
constexpr int kInternalError = 500;

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

HttpRequest ToRequest(const restinio::request_handle_t& handle) {
  HttpRequest out;
  const auto& header = handle->header();
  out.method = header.method().c_str();
  out.path = std::string(header.path());
  try {
    for (const auto& it : restinio::parse_query(header.query())) {
      out.query.emplace(std::string(it.first), std::string(it.second));
    }
  } catch (const std::exception&) {
    out.query.clear();  // Treat an undecodable query as empty.
  }
  header.for_each_field([&](const auto& field) {
    out.headers[Lower(std::string(field.name()))] = std::string(field.value());
  });
  out.body = handle->body();
  return out;
}

void Respond(const restinio::request_handle_t& handle,
             HttpResponse response,
             std::function<void()> on_written) {
  auto code =
      restinio::http_status_code_t{static_cast<uint16_t>(response.status)};
  auto out = handle->create_response(restinio::http_status_line_t{
      code, response.status < 400 ? "OK" : "Error"});
  out.append_header(restinio::http_field::content_type, response.content_type);
  for (const auto& it : response.headers) {
    out.append_header(it.first, it.second);
  }
  if (response.close) {
    out.connection_close();
  }
  out.set_body(std::move(response.body));
  out.done([on_written = std::move(on_written)](const auto&) { on_written(); });
}

/// The calls without a response. Their handles refer to the server's sockets,
/// so none may outlive the server. Thread-safe.
class OpenCalls : public std::enable_shared_from_this<OpenCalls> {
 public:
  explicit OpenCalls(asio::io_context* context) : context_(context) {}

  /// @return The call's number.
  uint64_t Add(restinio::request_handle_t handle) {
    std::lock_guard lock(mutex_);
    ++last_number_;
    Connection& connection = connections_[handle->remote_endpoint()];
    ++connection.unanswered;
    ++connection.unwritten;
    connection.newest = last_number_;
    connection.is_reading = connection.unwritten < kMaxPipelined;
    handles_.emplace(last_number_, std::move(handle));
    return last_number_;
  }

  /// Calls `handle` for the call received last over its connection, once the
  /// earlier calls of that connection are answered: a request may depend on the
  /// one before it.
  void HandleInTurn(const Endpoint& peer, std::function<void()> handle) {
    {
      std::lock_guard lock(mutex_);
      if (Connection& connection = connections_[peer];
          connection.unanswered > 1) {
        connection.waiting.push_back(std::move(handle));
        return;
      }
    }
    handle();
  }

  /// Sends the response unless there was one or the server has ended. Closes
  /// the connection only if no other request was received over it.
  void Respond(uint64_t number, HttpResponse response) {
    // Held while the response is sent, so that Close waits for it.
    std::lock_guard lock(mutex_);
    const auto node = handles_.extract(number);
    if (node.empty()) {
      return;
    }
    const Endpoint peer = node.mapped()->remote_endpoint();
    Connection& connection = connections_[peer];
    // Behind a request with which reading has paused there may be others.
    response.close = response.close && connection.newest == number &&
                     connection.unanswered == 1 && connection.is_reading;
    EndTurn(&connection);
    net::Respond(
        node.mapped(), std::move(response),
        [calls = shared_from_this(), peer] { calls->OnWritten(peer); });
  }

  void Remove(uint64_t number) {
    std::lock_guard lock(mutex_);
    if (const auto node = handles_.extract(number); !node.empty()) {
      const Endpoint peer = node.mapped()->remote_endpoint();
      EndTurn(&connections_[peer]);
      OnWritten(peer);
    }
  }

  /// Calls `then` once all responses to `peer` are written.
  void AfterResponses(const Endpoint& peer, std::function<void()> then) {
    {
      std::lock_guard lock(mutex_);
      if (auto it = connections_.find(peer); it != connections_.end()) {
        it->second.on_idle = std::move(then);
        return;
      }
    }
    then();
  }

  /// Gives up all calls.
  void Close() {
    std::lock_guard lock(mutex_);
    handles_.clear();
    connections_.clear();
  }

 private:
  struct Connection {
    size_t unanswered = 0;
    size_t unwritten = 0;
    uint64_t newest = 0;     ///< The call received last.
    bool is_reading = true;  ///< More requests would have been received.
    std::deque<std::function<void()>> waiting;
    std::function<void()> on_idle;
  };

  void EndTurn(Connection* connection) {
    --connection->unanswered;
    if (!connection->waiting.empty()) {
      asio::post(*context_, std::move(connection->waiting.front()));
      connection->waiting.pop_front();
    }
  }

  void OnWritten(const Endpoint& peer) {
    std::function<void()> on_idle;
    std::lock_guard lock(mutex_);
    auto it = connections_.find(peer);
    if (it != connections_.end() && --it->second.unwritten == 0) {
      on_idle = std::move(it->second.on_idle);
      connections_.erase(it);
    }
    if (on_idle) {
      on_idle();
    }
  }

  /// Recursive, as a response to a connection that has ended is reported as
  /// written before the call that sends it returns.
  std::recursive_mutex mutex_;
  asio::io_context* const context_;
  std::unordered_map<uint64_t, restinio::request_handle_t> handles_;
  std::map<Endpoint, Connection> connections_;
  uint64_t last_number_ = 0;
};

/// Makes a server's open calls known to its sockets.
class OpenCallsService : public asio::execution_context::service {
 public:
  using key_type = OpenCallsService;
  static inline asio::execution_context::id id;

  explicit OpenCallsService(asio::execution_context& context)
      : service(context) {}
  void shutdown() override { calls_.reset(); }

  void SetCalls(std::shared_ptr<OpenCalls> it) { calls_ = std::move(it); }
  const std::shared_ptr<OpenCalls>& Calls() const { return calls_; }

 private:
  std::shared_ptr<OpenCalls> calls_;
};

/// A socket that reports the end of what the caller sends only after the
/// responses: RESTinio then closes the connection at once.
class CallerSocket : public Tcp::socket {
 public:
  explicit CallerSocket(asio::io_context& context)
      : Tcp::socket(context),
        calls_(asio::use_service<OpenCallsService>(context).Calls()) {}

  /// @pre `handler` keeps this socket alive.
  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler handler) {
    const auto executor =
        asio::get_associated_executor(handler, get_executor());
    Tcp::socket::async_read_some(
        buffers,
        asio::bind_executor(
            executor, [this, executor, handler = std::move(handler)](
                          const asio::error_code& ec, size_t length) mutable {
              if (ec != asio::error::eof) {
                handler(ec, length);
                return;
              }
              asio::error_code no_peer;
              const Endpoint peer = remote_endpoint(no_peer);
              if (no_peer) {
                handler(ec, length);
                return;
              }
              calls_->AfterResponses(peer, [executor, handler, ec] {
                asio::post(executor,
                           [handler, ec]() mutable { handler(ec, 0); });
              });
            }));
  }

 private:
  /// Constant, as RESTinio goes on using sockets that it has moved from.
  const std::shared_ptr<OpenCalls> calls_;
};

struct Traits : restinio::default_traits_t {
  // The name is RESTinio's. NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
  using stream_socket_t = CallerSocket;
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
};

/// A call while its responder exists. Thread-safe.
class OpenCall {
 public:
  OpenCall(std::shared_ptr<OpenCalls> calls, restinio::request_handle_t handle)
      : calls_(std::move(calls)), number_(calls_->Add(std::move(handle))) {}
  ~OpenCall() { calls_->Remove(number_); }
  OpenCall(const OpenCall&) = delete;
  OpenCall& operator=(const OpenCall&) = delete;

  void Respond(HttpResponse response) {
    calls_->Respond(number_, std::move(response));
  }

 private:
  const std::shared_ptr<OpenCalls> calls_;
  const uint64_t number_;
};

/// RESTinio never accepts again after an accept has failed, as for want of
/// descriptors. So callers must leave some.
size_t MaxConnections() {
  constexpr rlim_t kOtherFds = 1000;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur > 2 * kOtherFds ? limit.rlim_cur - kOtherFds
                                        : limit.rlim_cur / 2;
}

}  // namespace

struct HttpServer::Impl {
  Impl() { asio::use_service<OpenCallsService>(context).SetCalls(open_calls); }

  asio::io_context context;
  std::shared_ptr<OpenCalls> open_calls = std::make_shared<OpenCalls>(&context);
  restinio::running_server_handle_t<Traits> server;
};

HttpServer::HttpServer(HttpServerOptions options, HttpHandler handler)
    : impl_(std::make_unique<Impl>()) {
  auto on_request = [handler = std::move(handler), calls = impl_->open_calls](
                        restinio::request_handle_t handle) {
    HttpRequest request = ToRequest(handle);
    const Endpoint peer = handle->remote_endpoint();
    const auto call = std::make_shared<OpenCall>(calls, std::move(handle));
    calls->HandleInTurn(peer, [handler, call, request = std::move(request)] {
      try {
        handler(request, [call](HttpResponse response) {
          call->Respond(std::move(response));
        });
      } catch (const std::exception&) {
        HttpResponse out;
        out.status = kInternalError;
        out.close = true;
        call->Respond(std::move(out));
      }
    });
    return restinio::request_accepted();
  };
  const auto address = SplitAddress(options.listen);
  impl_->server = restinio::run_async<Traits>(
      restinio::external_io_context(impl_->context),
      restinio::server_settings_t<Traits>{}
          .address(address.host)
          .socket_options_setter([](auto& options) {
            options.set_option(asio::ip::tcp::no_delay{true});
          })
          .port(address.port)
          .request_handler(std::move(on_request))
          .read_next_http_message_timelimit(options.read_timeout)
          .handle_request_timeout(options.handle_timeout)
          .write_http_response_timelimit(options.read_timeout)
          .max_pipelined_requests(kMaxPipelined)
          .max_parallel_connections(MaxConnections())
          .incoming_http_msg_limits(
              restinio::incoming_http_msg_limits_t{}.max_body_size(
                  options.max_body_bytes))
          .cleanup_func([] {}),
      1);
}

HttpServer::~HttpServer() {
  impl_->server->stop();
  impl_->server->wait();
  impl_->open_calls->Close();
}

}  // namespace bw::net
