#include "http_server.h"

#include <algorithm>
#include <mutex>
#include <restinio/all.hpp>
#include <unordered_map>

#include "../text_func.h"

namespace bw::net {
namespace {

struct Traits : restinio::default_traits_t {
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
};
using Server = restinio::http_server_t<Traits>;

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

void Respond(const restinio::request_handle_t& handle, HttpResponse response) {
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
  out.done();
}

/// The calls without a response. Their handles refer to the server's sockets,
/// so none may outlive the server. Thread-safe.
class OpenCalls {
 public:
  /// @return The call's number.
  uint64_t Add(restinio::request_handle_t handle) {
    std::lock_guard lock(mutex_);
    handles_.emplace(++last_number_, std::move(handle));
    return last_number_;
  }

  /// Sends the response unless there was one or the server has ended.
  void Respond(uint64_t number, HttpResponse response) {
    // Held while the response is sent, so that Close waits for it.
    std::lock_guard lock(mutex_);
    if (auto node = handles_.extract(number); !node.empty()) {
      net::Respond(node.mapped(), std::move(response));
    }
  }

  void Remove(uint64_t number) {
    std::lock_guard lock(mutex_);
    handles_.erase(number);
  }

  /// Gives up all calls.
  void Close() {
    std::lock_guard lock(mutex_);
    handles_.clear();
  }

 private:
  std::mutex mutex_;
  std::unordered_map<uint64_t, restinio::request_handle_t> handles_;
  uint64_t last_number_ = 0;
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

}  // namespace

struct HttpServer::Impl {
  std::shared_ptr<OpenCalls> open_calls = std::make_shared<OpenCalls>();
  restinio::running_server_handle_t<Traits> server;
};

HttpServer::HttpServer(HttpServerOptions options, HttpHandler handler)
    : impl_(std::make_unique<Impl>()) {
  auto on_request = [handler = std::move(handler), calls = impl_->open_calls](
                        restinio::request_handle_t handle) {
    const HttpRequest request = ToRequest(handle);
    const auto call = std::make_shared<OpenCall>(calls, std::move(handle));
    handler(request, [call](HttpResponse response) {
      call->Respond(std::move(response));
    });
    return restinio::request_accepted();
  };
  const auto address = SplitAddress(options.listen);
  impl_->server = restinio::run_async<Traits>(
      restinio::own_io_context(),
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
          .max_pipelined_requests(1)
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
