// bwfakeproxy: fault-injecting TCP proxy. Each link forwards one address to
// another; faults are set by link name.
//
//   POST /links    [{"name":"a>b","listen":"ip:port","target":"ip:port"},...]
//   POST /control  {"match":["a>*", ...],"there":MODE,"back":MODE,
//                   "delay_ms":n,"jitter_ms":n,"open":EVENT}
//
// MODE: "pass" forwards; "hold" buffers bytes until the next "pass"; "drop"
// discards them, and closes connections that lost bytes at the next "pass";
// "refuse" closes present and new connections; "reset" does so with RST;
// "busy" answers each request with HTTP status 503 and closes. "there" is the
// direction from the connecting side to the target, "back" the opposite one.
// Bytes are delayed by "delay_ms" and up to "jitter_ms" more, in order.
//
// EVENT happens to the connections that are open now: "reset" sends RST;
// "silence" discards all bytes from now on, "silence_there" and "silence_back"
// those in one direction, and none of the three ends with a change of mode.

#include <array>
#include <asio.hpp>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "../net/http_server.h"
#include "../process_func.h"
#include "../text_func.h"
#include "fake_settings.h"

namespace bw::fake {
namespace {

using Json = nlohmann::json;
using Tcp = asio::ip::tcp;
using Bytes = std::vector<char>;

enum class Mode : uint8_t { kPass, kHold, kDrop, kRefuse, kReset, kBusy };

Mode ParseMode(const std::string& name) {
  static const std::map<std::string, Mode> modes = {
      {"pass", Mode::kPass},   {"hold", Mode::kHold},
      {"drop", Mode::kDrop},   {"refuse", Mode::kRefuse},
      {"reset", Mode::kReset}, {"busy", Mode::kBusy}};
  return modes.at(name);
}

constexpr const char* kBusyResponse =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    "Connection: close\r\n\r\n";

/// Closes a connection with RST.
void Reset(Tcp::socket* socket) {
  std::error_code ec;
  socket->set_option(asio::socket_base::linger(true, 0), ec);
  socket->close(ec);
}

struct Rules {
  /// By direction: 0 to the target, 1 back.
  std::array<Mode, 2> modes{Mode::kPass, Mode::kPass};
  milliseconds delay{0};
  milliseconds jitter{0};
};

/// One connection through a link. Arrays are indexed by direction; direction n
/// is read from socket n and written to the other one.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Tcp::socket from,
          asio::io_context& io,
          const Rules* rules,
          std::mt19937_64* random)
      : sockets_{std::move(from), Tcp::socket(io)},
        rules_(rules),
        io_(io),
        random_(random) {}

  void Connect(const Tcp::endpoint& target) {
    auto self = shared_from_this();
    sockets_[1].async_connect(target, [self](std::error_code ec) {
      if (ec) {
        return self->Close();
      }
      for (auto& it : self->sockets_) {
        it.set_option(Tcp::no_delay(true), ec);
      }
      self->Read(0);
      self->Read(1);
    });
  }

  void Close() {
    std::error_code ec;
    sockets_[0].close(ec);
    sockets_[1].close(ec);
    closed_ = true;
  }

  void CloseWithReset() {
    bw::fake::Reset(&sockets_[0]);
    bw::fake::Reset(&sockets_[1]);
    closed_ = true;
  }

  /// Discards all bytes in direction `n` from now on.
  void Silence(size_t n) { silenced_[n] = true; }

  /// Applies rules that have changed.
  void OnRulesChanged() {
    for (size_t n = 0; n < 2; ++n) {
      if (rules_->modes[n] == Mode::kReset) {
        return CloseWithReset();
      }
      if (rules_->modes[n] == Mode::kRefuse ||
          (rules_->modes[n] == Mode::kPass && has_lost_bytes_[n])) {
        return Close();
      }
      if (rules_->modes[n] == Mode::kPass) {
        Write(n);
      }
    }
  }

  bool closed() const { return closed_; }

 private:
  void Read(size_t n) {
    auto self = shared_from_this();
    sockets_[n].async_read_some(asio::buffer(buffers_[n]),
                                [self, n](std::error_code ec, size_t size) {
                                  if (ec) {
                                    return self->OnEndOfStream(n);
                                  }
                                  self->OnData(n, size);
                                  self->Read(n);
                                });
  }

  void OnData(size_t n, size_t size) {
    if (silenced_[n]) {
      return;
    }
    if (rules_->modes[n] == Mode::kBusy) {
      auto self = shared_from_this();
      asio::async_write(sockets_[n],
                        asio::buffer(std::string_view(kBusyResponse)),
                        [self](std::error_code, size_t) { self->Close(); });
      return;
    }
    if (rules_->modes[n] == Mode::kDrop) {
      has_lost_bytes_[n] = true;
      return;
    }
    Bytes data(buffers_[n].begin(), buffers_[n].begin() + size);
    const auto now = std::chrono::steady_clock::now();
    if (rules_->delay.count() == 0 && rules_->jitter.count() == 0 &&
        now >= last_due_[n]) {
      queues_[n].push_back(std::move(data));
      return Write(n);
    }
    std::uniform_int_distribution<int64_t> jitter(0, rules_->jitter.count());
    // Later bytes must not overtake earlier ones, also with equal due times.
    last_due_[n] =
        std::max(now + rules_->delay + milliseconds(jitter(*random_)),
                 last_due_[n] + std::chrono::steady_clock::duration(1));
    auto timer = std::make_shared<asio::steady_timer>(io_, last_due_[n]);
    auto self = shared_from_this();
    timer->async_wait(
        [self, n, timer, data = std::move(data)](std::error_code) mutable {
          self->queues_[n].push_back(std::move(data));
          self->Write(n);
        });
  }

  /// Handles the end of the stream. Delayed until the direction passes again,
  /// like its data.
  void OnEndOfStream(size_t n) {
    has_ended_[n] = true;
    if (silenced_[n]) {
      return;
    }
    if (rules_->modes[n] == Mode::kPass && queues_[n].empty() && !writing_[n]) {
      Close();
    } else if (rules_->modes[n] == Mode::kPass) {
      Write(n);
    }
  }

  void Write(size_t n) {
    if (writing_[n] || closed_ || rules_->modes[n] != Mode::kPass) {
      return;
    }
    if (queues_[n].empty()) {
      if (has_ended_[n]) {
        Close();
      }
      return;
    }
    writing_[n] = true;
    auto self = shared_from_this();
    asio::async_write(sockets_[1 - n], asio::buffer(queues_[n].front()),
                      [self, n](std::error_code ec, size_t) {
                        self->writing_[n] = false;
                        if (ec) {
                          return self->Close();
                        }
                        self->queues_[n].pop_front();
                        self->Write(n);
                      });
  }

  std::array<Tcp::socket, 2> sockets_;
  const Rules* const rules_;
  asio::io_context& io_;
  std::mt19937_64* const random_;
  std::array<std::chrono::steady_clock::time_point, 2> last_due_{};
  std::array<bool, 2> silenced_{};
  std::array<std::array<char, 16'384>, 2> buffers_{};
  std::array<std::deque<Bytes>, 2> queues_;
  std::array<bool, 2> writing_{};
  std::array<bool, 2> has_lost_bytes_{};
  std::array<bool, 2> has_ended_{};
  bool closed_ = false;
};

Tcp::endpoint ParseEndpoint(const std::string& address) {
  const HostPort it = SplitAddress(address);
  return {asio::ip::make_address(it.host), it.port};
}

/// Listens on one address and forwards each connection to the target.
class Link {
 public:
  Link(asio::io_context& io,
       const std::string& listen,
       const std::string& target)
      : io_(io), target_(ParseEndpoint(target)), acceptor_(io) {
    const Tcp::endpoint endpoint = ParseEndpoint(listen);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    Accept();
  }

  void SetRules(const Rules& rules) {
    rules_ = rules;
    for (const auto& it : sessions_) {
      it->OnRulesChanged();
    }
  }
  const Rules& rules() const { return rules_; }

  /// Applies an event to the connections that are open now.
  void OnEvent(const std::string& event) {
    for (const auto& it : sessions_) {
      if (event == "reset") {
        it->CloseWithReset();
      }
      if (event == "silence" || event == "silence_there") {
        it->Silence(0);
      }
      if (event == "silence" || event == "silence_back") {
        it->Silence(1);
      }
    }
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](std::error_code ec, Tcp::socket socket) {
      if (!ec && rules_.modes[0] == Mode::kReset) {
        bw::fake::Reset(&socket);
      } else if (!ec && rules_.modes[0] != Mode::kRefuse) {
        std::erase_if(sessions_, [](const auto& it) { return it->closed(); });
        auto it = std::make_shared<Session>(std::move(socket), io_, &rules_,
                                            &random_);
        sessions_.push_back(it);
        it->Connect(target_);
      }
      Accept();
    });
  }

  asio::io_context& io_;
  const Tcp::endpoint target_;
  Tcp::acceptor acceptor_;
  Rules rules_;
  std::mt19937_64 random_;
  std::list<std::shared_ptr<Session>> sessions_;
};

/// Matches names against "a>*" (prefix), "*>b" (suffix) or a full name.
bool Matches(const std::string& pattern, const std::string& name) {
  if (pattern == "*") {
    return true;
  }
  if (pattern.ends_with('*')) {
    return name.starts_with(pattern.substr(0, pattern.size() - 1));
  }
  if (pattern.starts_with('*')) {
    return name.ends_with(pattern.substr(1));
  }
  return pattern == name;
}

/// All links and the thread that they run on.
class Proxy {
 public:
  Proxy() : work_(asio::make_work_guard(io_)), thread_([this] { io_.run(); }) {}
  ~Proxy() {
    io_.stop();
    thread_.join();
  }

  void Serve(const net::HttpRequest& request, const net::Responder& respond) {
    asio::post(io_, [this, request, respond] {
      const Json in = Json::parse(request.body, nullptr, false);
      try {
        if (request.path == "/links") {
          AddLinks(in);
        } else {
          Control(in);
        }
        respond({200, "application/json", "{}", {}});
      } catch (const std::exception& e) {
        respond({400, "text/plain", e.what(), {}});
      }
    });
  }

 private:
  void AddLinks(const Json& in) {
    for (const auto& it : in) {
      links_[it.at("name")] =
          std::make_unique<Link>(io_, it.at("listen"), it.at("target"));
    }
  }

  void Control(const Json& in) {
    for (const auto& pattern : in.at("match")) {
      for (auto& [name, link] : links_) {
        if (!Matches(pattern, name)) {
          continue;
        }
        Rules rules = link->rules();
        if (in.contains("there")) {
          rules.modes[0] = ParseMode(in["there"]);
        }
        if (in.contains("back")) {
          rules.modes[1] = ParseMode(in["back"]);
        }
        rules.delay = milliseconds(
            in.value("delay_ms", static_cast<int64_t>(rules.delay.count())));
        rules.jitter = milliseconds(
            in.value("jitter_ms", static_cast<int64_t>(rules.jitter.count())));
        link->SetRules(rules);
        link->OnEvent(in.value("open", ""));
      }
    }
  }

  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::map<std::string, std::unique_ptr<Link>> links_;
  std::thread thread_;
};

int Main(int argc, const char** argv) {
  int exit_code = 0;
  auto line = ParseCommandLine(argc, argv, "[OPTION...]", kServerSettings, {},
                               &exit_code);
  if (!line) {
    return exit_code;
  }
  BlockSignals();
  Proxy proxy;
  net::HttpServer server({.listen = line->settings.Text("fake.listen")},
                         [&](const auto& request, auto respond) {
                           proxy.Serve(request, respond);
                         });
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace bw::fake

int main(int argc, const char** argv) {
  bw::RunMain(bw::fake::Main, argc, argv);
}
