// Stateless string helpers. All functions are thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bw {

/// A TCP address. `port` is 0 if the text was not a valid address.
struct HostPort {
  std::string host;
  uint16_t port = 0;
};

/// Splits "ip:port" at the last colon. The host part is not validated.
HostPort SplitAddress(std::string_view text);

/// Splits `text` at `separator`, trims each item and omits empty ones.
std::vector<std::string> SplitList(std::string_view text, char separator);

/// Removes leading and trailing spaces, tabs, CR and LF.
std::string Trim(std::string_view text);

/// @return True if `text` has 1 to 64 characters of a-z A-Z 0-9 . _ -
bool IsName(std::string_view text);

/// Encodes as standard base64 with padding.
std::string ToBase64(std::string_view bytes);

/// Decodes standard base64. @return Empty if `text` is not valid.
std::string FromBase64(std::string_view text);

/// @return The SHA-256 of `secret` in lower-case hex, the form in which API
/// keys are stored.
std::string HashApiKey(std::string_view secret);

/// Compares in constant time if the lengths are equal.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

/// @return 16 random hex digits (64 bits).
std::string RandomHex();

/// 64-bit XXH64 hash; the same on every machine and in every build.
uint64_t StableHash(std::string_view text);

}  // namespace bw
