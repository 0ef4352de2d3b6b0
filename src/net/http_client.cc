#include "http_client.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <thread>
#include <unordered_map>
#include <utility>

#include "../guard_func.h"
#include "../ring.h"
#include "../thread_cpu_func.h"

namespace bw::net {
namespace {

constexpr size_t kMaxResponseBytes = 16U << 20;  ///< Longer responses fail.
constexpr size_t kCallRingSize = 16'384;  ///< Calls queued for the thread.
/// Longest wait without events; new calls and socket events end it earlier.
constexpr int kMaxPollMs = 1000;
constexpr int kMaxEvents = 256;  ///< Events handled after one wait.
constexpr int64_t kMaxConnectMs = 2000;
/// libcurl closes connections that were idle for longer than this (118 s).
constexpr milliseconds kMaxIdle{120'000};

/// State of one call; the libcurl easy handle points to its buffers.
struct Transfer {
  HttpCall call;
  std::function<bool()> may_send;
  HttpClient::Done done;
  size_t body_sent = 0;  ///< Bytes of the request body read by libcurl.
  HttpResult result;
  curl_slist* header_list = nullptr;

  ~Transfer() { curl_slist_free_all(header_list); }
};

size_t OnBody(char* data, size_t size, size_t n, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  if (transfer->result.body.size() + size * n > kMaxResponseBytes) {
    return 0;  // Makes libcurl fail the transfer.
  }
  transfer->result.body.append(data, size * n);
  return size * n;
}

size_t OnRead(char* buf, size_t size, size_t n, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  const auto& body = transfer->call.body;
  const size_t count = std::min(size * n, body.size() - transfer->body_sent);
  std::copy_n(body.data() + transfer->body_sent, count, buf);
  transfer->body_sent += count;
  return count;
}

/// When a reused connection breaks, libcurl rewinds the body and resends the
/// request on a new one. Failing the seek ends the call instead.
int OnSeek(void*, curl_off_t, int) {
  return CURL_SEEKFUNC_FAIL;
}

void SetUp(CURL* easy, Transfer* transfer) {
  const HttpCall& call = transfer->call;
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(call.timeout.count()));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(
                       std::min<int64_t>(call.timeout.count(), kMaxConnectMs)));
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
  transfer->header_list = curl_slist_append(transfer->header_list, "Expect:");
  for (const auto& it : call.headers) {
    transfer->header_list = curl_slist_append(
        transfer->header_list, (it.first + ": " + it.second).c_str());
  }
  if (!call.body.empty()) {
    curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(easy, CURLOPT_READFUNCTION, OnRead);
    curl_easy_setopt(easy, CURLOPT_READDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, OnSeek);
  } else if (call.method != "GET") {
    // Without a body there is no seek that could fail, so only a new connection
    // prevents libcurl from resending the request.
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, 0L);
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->header_list);
}

DeliveryStatus ToDeliveryStatus(CURLcode code) {
  switch (code) {
    case CURLE_OK:
      return DeliveryStatus::kResponded;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      return DeliveryStatus::kNotSent;
    default:
      return DeliveryStatus::kUnknown;
  }
}

/// @return True if the call timed out before the connection was established, so
/// no byte of the request was sent.
bool TimedOutConnecting(CURL* easy, CURLcode code) {
  curl_off_t connect_us = 0;
  curl_off_t pretransfer_us = 0;
  curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connect_us);
  curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer_us);
  return code == CURLE_OPERATION_TIMEDOUT && connect_us == 0 &&
         pretransfer_us == 0;
}

/// Fills in `transfer->result` once libcurl has ended the call.
void Finish(CURL* easy, CURLcode code, Transfer* transfer) {
  HttpResult& result = transfer->result;
  result.delivery = TimedOutConnecting(easy, code) ? DeliveryStatus::kNotSent
                                                   : ToDeliveryStatus(code);
  // libcurl may have failed to connect again after it had sent the request.
  if (result.delivery == DeliveryStatus::kNotSent && transfer->body_sent > 0) {
    result.delivery = DeliveryStatus::kUnknown;
  }
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  result.status = static_cast<int>(status);
  const char* type = nullptr;
  curl_easy_getinfo(easy, CURLINFO_CONTENT_TYPE, &type);
  result.content_type = type == nullptr ? "" : type;
}

/// Drives libcurl by socket events, so that the cost of an event does not
/// depend on the number of open transfers.
class CurlClient : public HttpClient {
 public:
  CurlClient(long connections_per_host, long cached_connections)
      : calls_(kCallRingSize),
        multi_(curl_multi_init()),
        epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
        wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                      connections_per_host);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, cached_connections);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, OnSocketInterest);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    Watch(EPOLL_CTL_ADD, wake_fd_, EPOLLIN);
    thread_ = std::jthread([this](const std::stop_token& stop) { Run(stop); });
  }

  ~CurlClient() override {
    thread_.request_stop();
    Wake();
    thread_.join();
    curl_multi_cleanup(multi_);
    close(wake_fd_);
    close(epoll_fd_);
  }

  void Send(HttpCall call, std::function<bool()> may_send, Done done) override {
    auto transfer = std::make_unique<Transfer>();
    transfer->call = std::move(call);
    transfer->may_send = std::move(may_send);
    transfer->done = std::move(done);
    if (calls_.Push(transfer)) {
      Wake();
    } else {
      transfer->done(HttpResult{DeliveryStatus::kNotSent, 0, {}, {}});
    }
  }

 private:
  void Run(const std::stop_token& stop) {
    const ScopedThreadCpu cpu("http_client");
    std::array<epoll_event, kMaxEvents> events{};
    while (!stop.stop_requested()) {
      const int n =
          epoll_wait(epoll_fd_, events.data(), kMaxEvents, MaxWaitMs());
      for (int i = 0; i < n; ++i) {
        HandleEvent(events[static_cast<size_t>(i)]);
      }
      while (auto transfer = calls_.TryPop()) {
        Begin(std::move(*transfer));
      }
      if (MaxWaitMs() == 0) {  // New calls and timeouts.
        int running = 0;
        curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
      }
      FinishCompleted();
    }
    for (auto& it : active_) {
      curl_multi_remove_handle(multi_, it.first);
      curl_easy_cleanup(it.first);
    }
    active_.clear();
  }

  /// @return The time until libcurl has to handle a timeout, in milliseconds.
  int MaxWaitMs() const {
    long ms = -1;
    curl_multi_timeout(multi_, &ms);
    return ms < 0 ? kMaxPollMs
                  : static_cast<int>(std::min<long>(ms, kMaxPollMs));
  }

  void HandleEvent(const epoll_event& event) {
    if (event.data.fd == wake_fd_) {
      uint64_t wakes = 0;
      [[maybe_unused]] auto n = read(wake_fd_, &wakes, sizeof(wakes));
      woken_ = false;  // Before the queue is read, so that no call is missed.
      return;
    }
    const int ready =
        ((event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
        ((event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
        ((event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
    int running = 0;
    curl_multi_socket_action(multi_, event.data.fd, ready, &running);
  }

  /// Called by libcurl when the events that it waits for on a socket change.
  /// @param watched Not null if the socket is in the epoll set.
  static int OnSocketInterest(CURL*,
                              curl_socket_t fd,
                              int what,
                              void* user,
                              void* watched) {
    auto* client = static_cast<CurlClient*>(user);
    if (what == CURL_POLL_REMOVE) {
      client->Watch(EPOLL_CTL_DEL, fd, 0);
      return 0;
    }
    const uint32_t events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) |
                            ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
    client->Watch(watched == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd,
                  events);
    curl_multi_assign(client->multi_, fd, client);
    return 0;
  }

  void Watch(int operation, int fd, uint32_t events) const {
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    epoll_ctl(epoll_fd_, operation, fd, &event);
  }

  /// Makes the thread look at the queue of calls.
  void Wake() {
    if (!woken_.exchange(true)) {
      const uint64_t one = 1;
      [[maybe_unused]] auto n = write(wake_fd_, &one, sizeof(one));
    }
  }

  void Begin(std::unique_ptr<Transfer> transfer) {
    if (transfer->may_send && !transfer->may_send()) {
      transfer->done(HttpResult{DeliveryStatus::kNotSent, 0, {}, {}});
      return;
    }
    CURL* easy = nullptr;
    if (idle_.empty()) {
      easy = curl_easy_init();
    } else {
      easy = idle_.back();
      idle_.pop_back();
      curl_easy_reset(easy);
    }
    SetUp(easy, transfer.get());
    AvoidSilentConnections(easy, transfer->call.url);
    active_[easy] = std::move(transfer);
    curl_multi_add_handle(multi_, easy);
  }

  /// @return The part of a URL before the path, which names the server.
  static std::string ServerOf(const std::string& url) {
    constexpr std::string_view kSeparator = "://";
    const size_t scheme = url.find(kSeparator);
    return scheme == std::string::npos
               ? url
               : url.substr(0, url.find('/', scheme + kSeparator.size()));
  }

  /// Connections may fall silent without a reset, and then all of a server at
  /// once. After a call without a response, those that were open by then serve
  /// no further calls, or each of them would cost a call its time.
  void AvoidSilentConnections(CURL* easy, const std::string& url) {
    const auto it = silent_at_.find(ServerOf(url));
    if (it == silent_at_.end()) {
      return;
    }
    const auto age = BootClock::now() - it->second;
    if (age > kMaxIdle) {
      silent_at_.erase(it);
      return;
    }
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(age).count();
    // libcurl compares whole seconds, and takes 0 for no limit: one second less
    // excludes all connections that were open then.
    if (seconds < 2) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    } else {
      curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN,
                       static_cast<long>(seconds - 1));
    }
  }

  /// Completes the calls that libcurl reports as ended.
  void FinishCompleted() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      curl_multi_remove_handle(multi_, easy);
      auto node = active_.extract(easy);
      Finish(easy, code, node.mapped().get());
      if (code == CURLE_OPERATION_TIMEDOUT) {
        silent_at_[ServerOf(node.mapped()->call.url)] = BootClock::now();
      }
      idle_.push_back(easy);
      RunGuarded(Part::kKernel, "http_callback", [&] {
        node.mapped()->done(std::move(node.mapped()->result));
      });
    }
  }

  Ring<std::unique_ptr<Transfer>> calls_;
  CURLM* multi_;
  const int epoll_fd_;
  const int wake_fd_;
  std::atomic<bool> woken_{false};  ///< `wake_fd_` was not read since a Wake.
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> active_;
  /// By server: when a call last ended without a response.
  std::unordered_map<std::string, Time> silent_at_;
  std::vector<CURL*> idle_;  ///< Easy handles available for reuse.
  std::jthread thread_;
};

}  // namespace

std::unique_ptr<HttpClient> MakeHttpClient(long connections_per_host,
                                           long cached_connections) {
  return std::make_unique<CurlClient>(connections_per_host, cached_connections);
}

std::string EscapeQuery(const std::string& text) {
  const std::unique_ptr<char, void (*)(void*)> escaped(
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())),
      curl_free);
  std::string out = escaped ? escaped.get() : "";
  constexpr std::string_view kColon = "%3A";  // Has no meaning in a query.
  for (size_t n = 0; (n = out.find(kColon, n)) != std::string::npos; ++n) {
    out.replace(n, kColon.size(), ":");
  }
  return out;
}

HttpResult CallAndWait(const HttpCall& call) {
  thread_local std::unique_ptr<CURL, void (*)(CURL*)> easy(curl_easy_init(),
                                                           curl_easy_cleanup);
  curl_easy_reset(easy.get());
  Transfer transfer;
  transfer.call = call;
  SetUp(easy.get(), &transfer);
  Finish(easy.get(), curl_easy_perform(easy.get()), &transfer);
  return transfer.result;
}

}  // namespace bw::net
