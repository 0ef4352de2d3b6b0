#include <sodium.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

#include "text_func.h"

namespace bw {

HostPort SplitAddress(std::string_view text) {
  auto n = text.rfind(':');
  if (n == std::string_view::npos) {
    return {};
  }
  HostPort out{std::string(text.substr(0, n)), 0};
  auto digits = text.substr(n + 1);
  auto [end, ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), out.port);
  if (ec != std::errc() || end != digits.data() + digits.size()) {
    out.port = 0;
  }
  return out;
}

std::string Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  const auto last = text.find_last_not_of(" \t\r\n");
  return std::string(text.substr(first, last - first + 1));
}

std::vector<std::string> SplitList(std::string_view text, char separator) {
  std::vector<std::string> out;
  while (!text.empty()) {
    const auto n = std::min(text.find(separator), text.size());
    if (auto part = Trim(text.substr(0, n)); !part.empty()) {
      out.push_back(std::move(part));
    }
    text.remove_prefix(std::min(n + 1, text.size()));
  }
  return out;
}

bool IsName(std::string_view text) {
  constexpr size_t kMaxNameLength = 64;
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '_' || c == '-' || c == '.';
         });
}

std::string ToBase64(std::string_view bytes) {
  std::string out(
      sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(out.data(), out.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  out.resize(out.empty() ? 0 : out.size() - 1);  // Drop the terminating NUL.
  return out;
}

std::string FromBase64(std::string_view text) {
  std::string out(text.size(), '\0');
  size_t length = 0;
  if (sodium_base642bin(reinterpret_cast<unsigned char*>(out.data()),
                        out.size(), text.data(), text.size(), nullptr, &length,
                        nullptr, sodium_base64_VARIANT_ORIGINAL) != 0) {
    return {};
  }
  out.resize(length);
  return out;
}

std::string HashApiKey(std::string_view secret) {
  unsigned char digest[crypto_hash_sha256_BYTES];
  crypto_hash_sha256(digest,
                     reinterpret_cast<const unsigned char*>(secret.data()),
                     secret.size());
  std::string hex(sizeof(digest) * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), digest, sizeof(digest));
  hex.pop_back();
  return hex;
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string RandomHex() {
  unsigned char bytes[8];
  randombytes_buf(bytes, sizeof(bytes));
  std::string hex(sizeof(bytes) * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), bytes, sizeof(bytes));
  hex.pop_back();
  return hex;
}

uint64_t StableHash(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace bw
