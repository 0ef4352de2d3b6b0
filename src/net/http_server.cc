#include "http_server.h"

#include <sys/resource.h>

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <restinio/all.hpp>
#include <unordered_map>

#include "../text_func.h"
#include "caller_parser.h"

namespace bw::net {
namespace {

using Tcp = asio::ip::tcp;
using Endpoint = Tcp::endpoint;

/// Requests of one connection that are received before they are answered.
constexpr size_t kMaxPipelined = 4;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
/// Kept by the kernel for one connection, in each direction.
constexpr int kKernelBufferBytes = 128 << 10;
/// More than fit in the longest head that the limits of a deployment allow.
constexpr size_t kMaxFields = 4096;
/// What a caller may go on sending after its request was refused, so that it
/// can read the response.
constexpr size_t kMaxDropped = 1 << 20;
/// The library checks the limit of a body before this file does.
constexpr size_t kMaxReadAtOnce = 64 << 10;
constexpr size_t kMaxBodyBytes = 64 << 20;
constexpr std::string_view kTooLarge =
    "HTTP/1.1 413 Payload Too Large\r\nConnection: close\r\n"
    "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";

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
  /// @pre `options` outlives it or the last socket.
  OpenCalls(asio::io_context* context, const HttpServerOptions& options)
      : context_(context),
        max_body_bytes_(options.max_body_bytes),
        max_body_bytes_now_(options.max_body_bytes_now),
        budget_(options.budget
                    ? options.budget
                    : std::make_shared<CallerBudget>(kMaxBytes / 2)) {}

  /// @return The largest body allowed. Server's thread.
  size_t MaxBodyBytes() const {
    return max_body_bytes_now_ ? max_body_bytes_now_() : max_body_bytes_;
  }
  const std::shared_ptr<CallerBudget>& Budget() const { return budget_; }

  void AddAccount(const Endpoint& peer, const CallerBudget::AccountPtr& it) {
    std::lock_guard lock(mutex_);
    accounts_[peer] = it;
  }
  void RemoveAccount(const Endpoint& peer, const CallerBudget::AccountPtr& it) {
    std::lock_guard lock(mutex_);
    const auto found = accounts_.find(peer);
    if (found != accounts_.end() && found->second == it) {
      accounts_.erase(found);
    }
  }
  /// @return True if a response to `peer` is not written yet.
  bool HasOpenCalls(const Endpoint& peer) {
    std::lock_guard lock(mutex_);
    return connections_.contains(peer);
  }

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
    const auto account = accounts_.find(peer);
    auto charge = std::make_shared<CallerBudget::Charge>(
        budget_, account == accounts_.end() ? nullptr : account->second,
        response.body.size());
    net::Respond(
        node.mapped(), std::move(response),
        [calls = shared_from_this(), peer, charge] { calls->OnWritten(peer); });
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
  static constexpr size_t kMaxBytes = std::numeric_limits<size_t>::max();

  asio::io_context* const context_;
  const size_t max_body_bytes_;
  const std::function<size_t()> max_body_bytes_now_;
  const std::shared_ptr<CallerBudget> budget_;
  std::map<Endpoint, CallerBudget::AccountPtr> accounts_;
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

/// What is known about a socket from its first read on. Server's thread.
class Intake : public std::enable_shared_from_this<Intake> {
 public:
  Intake(std::shared_ptr<OpenCalls> calls, Tcp::socket* socket)
      : calls_(std::move(calls)), socket_(socket) {
    asio::error_code ec;
    peer_ = socket->remote_endpoint(ec);
  }
  ~Intake() {
    calls_->RemoveAccount(peer_, account_);
    calls_->Budget()->Close(account_);
  }
  Intake(const Intake&) = delete;
  Intake& operator=(const Intake&) = delete;

  void Open() {
    account_ = calls_->Budget()->Open(
        [weak = weak_from_this(), executor = socket_->get_executor()] {
          asio::post(executor, [weak] {
            if (const auto it = weak.lock()) {
              it->Doom();
            }
          });
        });
    calls_->AddAccount(peer_, account_);
  }

  const Endpoint& Peer() const { return peer_; }
  bool IsDoomed() const { return is_doomed_; }
  bool IsRefused() const { return is_refused_; }

  /// Hands bytes to the library by calling `parse`, then counts what the
  /// request uses. @pre The connection outlives the call.
  template <typename Parse>
  void Read(const Parse& parse) {
    reading_link = &link_;
    link_.has_begun = false;
    parse();
    reading_link = nullptr;
    if (link_.parser == nullptr) {
      return;
    }
    const auto* context = static_cast<const restinio::impl::http_parser_ctx_t*>(
        link_.parser->data);
    if (context->m_message_complete || !socket_->is_open()) {
      head_bytes_ = 0;
      SetUsed(0);
      return;
    }
    if (!context->m_leading_headers_completed) {
      head_bytes_ = link_.parser->nread;
      if (head_bytes_ == 0) {
        SetUsed(0);  // Between two requests.
        return;
      }
    } else {
      head_bytes_ = link_.has_begun ? 0 : head_bytes_;
      if (IsTooLarge(*context)) {
        Refuse();
      }
    }
    SetUsed(head_bytes_ + UsedBy(*context));
  }

  /// @return True if the rest that a refused caller sends is to be read.
  bool Drop(size_t length) {
    dropped_ += length;
    return dropped_ < kMaxDropped;
  }

 private:
  void SetUsed(size_t bytes) {
    if (bytes != used_) {
      used_ = bytes;
      calls_->Budget()->SetUnfinished(account_, bytes);
    }
  }

  bool IsTooLarge(const restinio::impl::http_parser_ctx_t& context) const {
    const uint64_t limit = calls_->MaxBodyBytes();
    const uint64_t rest = link_.parser->content_length;
    const bool is_announced =
        (link_.parser->flags & F_CHUNKED) == 0 && rest != ULLONG_MAX;
    return context.m_body.size() > limit ||
           (is_announced && rest > limit - context.m_body.size());
  }

  /// Responds that the body is too large. Behind other requests of the
  /// connection it is closed after their responses.
  void Refuse() {
    is_refused_ = true;
    calls_->Budget()->CountTooLarge();
    asio::error_code ec;
    if (!calls_->HasOpenCalls(peer_)) {
      socket_->non_blocking(true, ec);
      socket_->send(asio::buffer(kTooLarge), 0, ec);
      socket_->shutdown(Tcp::socket::shutdown_send, ec);
    } else {
      socket_->shutdown(Tcp::socket::shutdown_receive, ec);
    }
  }

  /// Closes the connection: its reads and writes fail.
  void Doom() {
    is_doomed_ = true;
    asio::error_code ec;
    socket_->shutdown(Tcp::socket::shutdown_both, ec);
  }

  const std::shared_ptr<OpenCalls> calls_;
  Tcp::socket* const socket_;
  Endpoint peer_;
  CallerBudget::AccountPtr account_;
  ParserLink link_;
  size_t head_bytes_ = 0;
  size_t used_ = 0;
  size_t dropped_ = 0;
  bool is_doomed_ = false;
  bool is_refused_ = false;
};

/// A socket that counts what requests use, drops what a refused caller goes on
/// sending, and reports the end of what the caller sends only after the
/// responses: RESTinio then closes the connection at once.
class CallerSocket : public Tcp::socket {
 public:
  explicit CallerSocket(asio::io_context& context)
      : Tcp::socket(context),
        calls_(asio::use_service<OpenCallsService>(context).Calls()) {}

  /// @pre `handler` keeps this socket alive, which is not moved any more.
  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler handler) {
    if (!intake_) {
      intake_ = std::make_shared<Intake>(calls_, this);
      intake_->Open();
    }
    const auto executor =
        asio::get_associated_executor(handler, get_executor());
    Tcp::socket::async_read_some(
        buffers,
        asio::bind_executor(
            executor, [this, executor, buffers, handler = std::move(handler)](
                          const asio::error_code& ec, size_t length) mutable {
              if (intake_->IsDoomed()) {
                handler(asio::error::connection_reset, 0);
              } else if (ec == asio::error::eof) {
                EndAfterResponses(executor, std::move(handler));
              } else if (ec) {
                handler(ec, length);
              } else if (intake_->IsRefused()) {
                if (intake_->Drop(length)) {
                  async_read_some(buffers, std::move(handler));
                } else {
                  handler(asio::error::connection_reset, 0);
                }
              } else {
                intake_->Read([&] { handler(ec, length); });
              }
            }));
  }

 private:
  template <typename Executor, typename Handler>
  void EndAfterResponses(const Executor& executor, Handler handler) {
    const asio::error_code ec = asio::error::eof;
    calls_->AfterResponses(intake_->Peer(), [executor, handler, ec] {
      asio::post(executor, [handler, ec]() mutable { handler(ec, 0); });
    });
  }

  /// Constant, as RESTinio goes on using sockets that it has moved from.
  const std::shared_ptr<OpenCalls> calls_;
  std::shared_ptr<Intake> intake_;
};

struct Traits : restinio::default_traits_t {
  // The name is RESTinio's. NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
  using stream_socket_t = CallerSocket;
  using http_methods_mapper_t = CallerMethods;
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
};

/// A call while its responder exists. Thread-safe.
class OpenCall {
 public:
  /// @param bytes Memory of the request.
  OpenCall(std::shared_ptr<OpenCalls> calls,
           restinio::request_handle_t handle,
           size_t bytes)
      : calls_(std::move(calls)),
        number_(calls_->Add(std::move(handle))),
        charge_(calls_->Budget(), nullptr, bytes) {}
  ~OpenCall() { calls_->Remove(number_); }
  OpenCall(const OpenCall&) = delete;
  OpenCall& operator=(const OpenCall&) = delete;

  void Respond(HttpResponse response) {
    calls_->Respond(number_, std::move(response));
  }

 private:
  const std::shared_ptr<OpenCalls> calls_;
  const uint64_t number_;
  const CallerBudget::Charge charge_;
};

/// @return A refusal of a request that was not handled.
HttpResponse MakeNoRoomResponse() {
  HttpResponse out;
  out.status = kUnavailable;
  out.body = "{}";
  out.headers.emplace_back("Retry-After", "1");
  out.close = true;
  return out;
}

/// RESTinio never accepts again after an accept has failed, as for want of
/// descriptors. So callers must leave some.
size_t MaxConnections(double share) {
  constexpr rlim_t kOtherFds = 1000;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  const rlim_t all = limit.rlim_cur > 2 * kOtherFds ? limit.rlim_cur - kOtherFds
                                                    : limit.rlim_cur / 2;
  return std::max<size_t>(
      1, static_cast<size_t>(static_cast<double>(all) * share));
}

}  // namespace

struct HttpServer::Impl {
  explicit Impl(const HttpServerOptions& options)
      : open_calls(std::make_shared<OpenCalls>(&context, options)) {
    asio::use_service<OpenCallsService>(context).SetCalls(open_calls);
  }

  asio::io_context context;
  std::shared_ptr<OpenCalls> open_calls;
  restinio::running_server_handle_t<Traits> server;
};

HttpServer::HttpServer(HttpServerOptions options, HttpHandler handler)
    : impl_(std::make_unique<Impl>(options)) {
  auto on_request = [handler = std::move(handler), calls = impl_->open_calls](
                        restinio::request_handle_t handle) {
    HttpRequest request = ToRequest(handle);
    const Endpoint peer = handle->remote_endpoint();
    // The library keeps its own copy until the response.
    const size_t bytes = 2 * request.body.size();
    const bool has_room = calls->Budget()->MakeRoom(bytes);
    const auto call =
        std::make_shared<OpenCall>(calls, std::move(handle), bytes);
    if (!has_room) {
      calls->Budget()->CountRefused();
      calls->HandleInTurn(peer,
                          [call] { call->Respond(MakeNoRoomResponse()); });
      return restinio::request_accepted();
    }
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
            options.set_option(
                asio::socket_base::receive_buffer_size{kKernelBufferBytes});
            options.set_option(
                asio::socket_base::send_buffer_size{kKernelBufferBytes});
          })
          .port(address.port)
          .request_handler(std::move(on_request))
          .read_next_http_message_timelimit(options.read_timeout)
          .handle_request_timeout(options.handle_timeout)
          .write_http_response_timelimit(options.read_timeout)
          .max_pipelined_requests(kMaxPipelined)
          .max_parallel_connections(MaxConnections(options.connection_share))
          .incoming_http_msg_limits(
              restinio::incoming_http_msg_limits_t{}
                  .max_field_count(kMaxFields)
                  .max_body_size(kMaxReadAtOnce +
                                 (options.max_body_bytes_now
                                      ? kMaxBodyBytes
                                      : options.max_body_bytes)))
          .cleanup_func([] {}),
      1);
}

HttpServer::~HttpServer() {
  impl_->server->stop();
  impl_->server->wait();
  impl_->open_calls->Close();
}

}  // namespace bw::net
