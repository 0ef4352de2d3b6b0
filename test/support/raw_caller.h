// A caller with sockets of its own, which sees how each connection ends.
#pragma once

#include <string>
#include <vector>

#include "../../src/clock.h"

namespace bw::test {

/// A TCP connection of a caller. One thread.
class RawConnection {
 public:
  enum class OpenResult : uint8_t { kOpen, kRefused, kNoReply };
  enum class End : uint8_t { kNone, kClosed, kReset, kTimeout };

  RawConnection() = default;
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// @param address "ip:port".
  OpenResult Open(const std::string& address);
  /// @return False if the peer has ended the connection.
  bool Send(const std::string& bytes);
  /// Sends until the peer does not read for `patience` or has ended the
  /// connection.
  void SendSome(const std::string& bytes, milliseconds patience);
  /// Reads until `count` responses are complete, the connection ends or `limit`
  /// passes.
  /// @return The status codes of the complete responses.
  std::vector<int> Read(size_t count, Time limit);
  /// Waits for the peer to end the connection.
  void AwaitEnd(Time limit);
  /// @return How the last Read ended; kNone if all responses came.
  End HowEnded() const { return end_; }
  /// @return True if a response said that the peer closes the connection.
  bool IsClosing() const { return closing_; }

 private:
  /// Removes a complete response from `read_`. @return Its status, or 0.
  int TakeResponse();
  /// @return False if the connection has ended or `limit` has passed.
  bool ReadSome(Time limit);

  int socket_ = -1;
  std::string read_;
  End end_ = End::kNone;
  bool closing_ = false;
};

}  // namespace bw::test
