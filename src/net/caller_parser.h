// How the HTTP library parses callers' requests. Part of http_server.cc.
#pragma once

#include <algorithm>
#include <climits>
#include <restinio/all.hpp>

namespace bw::net {

/// Marks the servers whose parser is defined here.
struct CallerMethods : restinio::default_http_methods_t {};

/// The parser of the request that is being read; set by the library's
/// callbacks while a socket hands bytes to it.
struct ParserLink {
  const http_parser* parser = nullptr;
  bool has_begun = false;  ///< A request began in this read.
};
// NOLINTNEXTLINE(cppcoreguidelines-avoid-non-const-global-variables)
inline thread_local ParserLink* reading_link = nullptr;

/// Allocated for the body when the head is complete, if as much is announced.
inline constexpr uint64_t kMaxReservedBody = 4096;
/// Two strings, and as much again while the list grows.
inline constexpr size_t kFieldBytes = 160;

/// @return The memory of a request that is being parsed, except for its head's
/// text.
inline size_t UsedBy(const restinio::impl::http_parser_ctx_t& context) {
  return context.m_body.capacity() + context.m_total_field_count * kFieldBytes;
}

}  // namespace bw::net

namespace restinio::impl {

/// Like the library's own, except that chunks are not recorded, as each would
/// cost more than it has bytes, and that an announced body costs nothing.
template <>
inline http_parser_settings
create_parser_settings<bw::net::CallerMethods>() noexcept {
  auto out = create_parser_settings<default_http_methods_t>();
  out.on_message_begin = [](http_parser* parser) -> int {
    if (bw::net::reading_link != nullptr) {
      bw::net::reading_link->parser = parser;
      bw::net::reading_link->has_begun = true;
    }
    return 0;
  };
  out.on_headers_complete = [](http_parser* parser) -> int {
    auto* context = static_cast<http_parser_ctx_t*>(parser->data);
    context->m_leading_headers_completed = true;
    if (parser->content_length != ULLONG_MAX) {
      context->m_body.reserve(
          std::min(parser->content_length, bw::net::kMaxReservedBody));
    }
    return 0;
  };
  out.on_chunk_header = [](http_parser*) -> int { return 0; };
  return out;
}

}  // namespace restinio::impl
