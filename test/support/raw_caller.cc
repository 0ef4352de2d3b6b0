#include "raw_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>

#include "../../src/text_func.h"

namespace bw::test {
namespace {

constexpr milliseconds kOpenTimeout{2000};

int MsUntil(Time limit) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(limit - BootClock::now());
  return static_cast<int>(std::max<int64_t>(0, left.count()));
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

}  // namespace

RawConnection::~RawConnection() {
  if (socket_ >= 0) {
    close(socket_);
  }
}

RawConnection::OpenResult RawConnection::Open(const std::string& address) {
  const auto parts = SplitAddress(address);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(parts.port);
  inet_pton(AF_INET, parts.host.c_str(), &to.sin_addr);
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) ==
      0) {
    return OpenResult::kOpen;
  }
  if (errno == EINPROGRESS) {
    pollfd it{socket_, POLLOUT, 0};
    if (poll(&it, 1, static_cast<int>(kOpenTimeout.count())) <= 0) {
      return OpenResult::kNoReply;
    }
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error == 0) {
      return OpenResult::kOpen;
    }
  }
  return OpenResult::kRefused;
}

bool RawConnection::Send(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n > 0) {
      sent += static_cast<size_t>(n);
    } else if (errno == EAGAIN) {
      pollfd it{socket_, POLLOUT, 0};
      poll(&it, 1, 100);
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

void RawConnection::SendSome(const std::string& bytes, milliseconds patience) {
  size_t sent = 0;
  pollfd it{socket_, POLLOUT, 0};
  while (sent < bytes.size() &&
         poll(&it, 1, static_cast<int>(patience.count())) > 0) {
    const ssize_t n =
        send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
      return;
    }
    sent += n > 0 ? static_cast<size_t>(n) : 0;
  }
}

std::vector<int> RawConnection::Read(size_t count, Time limit) {
  std::vector<int> out;
  end_ = End::kNone;
  while (out.size() < count) {
    if (const int status = TakeResponse(); status > 0) {
      out.push_back(status);
    } else if (!ReadSome(limit)) {
      break;
    }
  }
  return out;
}

void RawConnection::AwaitEnd(Time limit) {
  while (ReadSome(limit)) {
  }
}

bool RawConnection::ReadSome(Time limit) {
  pollfd it{socket_, POLLIN, 0};
  if (poll(&it, 1, MsUntil(limit)) <= 0) {
    end_ = End::kTimeout;
    return false;
  }
  std::array<char, 4096> buffer{};
  const ssize_t n = recv(socket_, buffer.data(), buffer.size(), 0);
  if (n > 0) {
    read_.append(buffer.data(), static_cast<size_t>(n));
    return true;
  }
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
    return true;
  }
  end_ = n == 0 ? End::kClosed : End::kReset;
  return false;
}

int RawConnection::TakeResponse() {
  const size_t head_end = read_.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return 0;
  }
  const std::string head = Lower(read_.substr(0, head_end + 2));
  const std::string length_field = "\r\ncontent-length:";
  const size_t at = head.find(length_field);
  const size_t length =
      at == std::string::npos
          ? 0
          : std::strtoull(head.c_str() + at + length_field.size(), nullptr, 10);
  const size_t size = head_end + 4 + length;
  if (read_.size() < size) {
    return 0;
  }
  closing_ =
      closing_ || head.find("\r\nconnection: close") != std::string::npos;
  read_.erase(0, size);
  constexpr size_t kStatusAt = sizeof("HTTP/1.1 ") - 1;
  return static_cast<int>(std::strtol(head.c_str() + kStatusAt, nullptr, 10));
}

}  // namespace bw::test
