// Small text helpers without state. All functions are thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bw {

/// A TCP address. `port` is 0 when the text was not an address.
struct HostPort {
  std::string host;
  uint16_t port = 0;
};

/// @return The parts of "ip:port".
HostPort SplitAddress(std::string_view text);

/// @return The parts of `text` between `separator`, trimmed, empty ones left
/// out.
std::vector<std::string> SplitList(std::string_view text, char separator);

std::string Trim(std::string_view text);

/// @return True if `text` is 1 to 64 of a-z A-Z 0-9 _ - .
bool IsName(std::string_view text);

/// @return Standard base64 of `bytes`.
std::string ToBase64(std::string_view bytes);

/// @return The bytes of standard base64; empty if it cannot be read.
std::string FromBase64(std::string_view text);

/// @return The lower-case SHA-256 of `secret` in hex: how keys are kept.
std::string HashKey(std::string_view secret);

/// Compares in constant time for texts of one length.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

/// @return A random text of 16 hex digits.
std::string RandomHex();

/// Stable 64-bit hash, the same on every machine and in every build.
uint64_t StableHash(std::string_view text);

}  // namespace bw
