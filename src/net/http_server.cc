#include "http_server.h"

#include <algorithm>
#include <atomic>
#include <restinio/all.hpp>
#include <thread>

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

}  // namespace

struct HttpServer::Impl {
  restinio::running_server_handle_t<Traits> server;
};

HttpServer::HttpServer(HttpServerOptions options, HttpHandler handler)
    : impl_(std::make_unique<Impl>()) {
  auto on_request =
      [handler = std::move(handler)](restinio::request_handle_t handle) {
        auto done = std::make_shared<std::atomic<bool>>(false);
        handler(ToRequest(handle), [handle, done](HttpResponse response) {
          if (!done->exchange(true)) {
            Respond(handle, std::move(response));
          }
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

HttpServer::~HttpServer() = default;

}  // namespace bw::net
