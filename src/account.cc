#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "control_func.h"
#include "place_func.h"
#include "table/account_fields.h"
#include "text_func.h"

namespace bw {
namespace {

using Json = nlohmann::json;

constexpr size_t kKeyHashLength = 64;

/// Parameter values of an account for its template.
class TemplateParameters {
 public:
  TemplateParameters(std::string account, const Json& values)
      : account_(std::move(account)), values_(values) {}

  /// @return `value`, or the account's value for NAME if it is "$NAME".
  leaf::result<std::string> Substitute(const Json& value) const {
    if (!value.is_string()) {
      return Fail(ErrorCode::kInvalidConfig,
                  account_ + ": every value is a text");
    }
    auto text = value.get<std::string>();
    if (!text.starts_with('$')) {
      return text;
    }
    auto it = values_.find(text.substr(1));
    if (it == values_.end() || !it->is_string()) {
      return Fail(ErrorCode::kInvalidConfig,
                  fmt::format("{}: no value for {}", account_, text));
    }
    return it->get<std::string>();
  }

 private:
  const std::string account_;
  const Json& values_;
};

leaf::result<uint64_t> ToNumber(const std::string& where,
                                const std::string& text,
                                uint64_t min,
                                uint64_t max) {
  uint64_t n = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size() || n < min ||
      n > max) {
    return Fail(ErrorCode::kInvalidConfig,
                fmt::format("{}: wanted a whole number from {} to {}", where,
                            min, max));
  }
  return n;
}

leaf::result<void> ReadQueueField(const std::string& where,
                                  const std::string& field,
                                  const std::string& text,
                                  QueuePolicy* out) {
  for (const auto& it : table::kQueueFields) {
    if (field == it.name) {
      BOOST_LEAF_AUTO(n, ToNumber(where, text, it.min, it.max));
      out->*it.member = static_cast<uint32_t>(n);
      return {};
    }
  }
  if (field == "open" && (text == "yes" || text == "no")) {
    out->open = text == "yes";
    return {};
  }
  if (field == "strategy" && FindStrategy(text) != nullptr) {
    out->strategy = text;
    return {};
  }
  return Fail(ErrorCode::kInvalidConfig, where + ": no such field or value");
}

/// `key` is "queue.NAME.FIELD".
leaf::result<void> ReadQueue(const std::string& where,
                             const std::string& key,
                             const std::string& text,
                             ClientAccount* out) {
  const auto parts = SplitList(key, '.');
  if (parts.size() != 3 || !IsName(parts[1])) {
    return Fail(ErrorCode::kInvalidConfig, where + ": no such field");
  }
  return ReadQueueField(where, parts[2], text, &out->queues[QueueId(parts[1])]);
}

leaf::result<void> ReadKeys(const std::string& where,
                            const std::string& text,
                            ClientAccount* out) {
  for (const auto& it : SplitList(text, ',')) {
    const bool is_hash =
        it.size() == kKeyHashLength &&
        it.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!is_hash) {
      return Fail(ErrorCode::kInvalidConfig,
                  where + ": wanted SHA-256 hashes in hex");
    }
    out->key_hashes.push_back(it);
  }
  return {};
}

leaf::result<void> ReadField(const std::string& where,
                             const std::string& key,
                             const std::string& text,
                             ClientAccount* out) {
  for (const auto& it : table::kAccountFields) {
    if (key == it.name) {
      BOOST_LEAF_AUTO(n, ToNumber(where, text, it.min, it.max));
      out->*it.member = n;
      return {};
    }
  }
  if (key == "keys") {
    return ReadKeys(where, text, out);
  }
  return ReadQueue(where, key, text, out);
}

}  // namespace

leaf::result<ClientAccount> ExpandTemplate(const std::string& name,
                                           const std::string& account_body,
                                           const std::string& template_body) {
  const Json account = Json::parse(account_body, nullptr, false);
  const Json fields = Json::parse(template_body, nullptr, false);
  if (!account.is_object() || !fields.is_object()) {
    return Fail(ErrorCode::kInvalidConfig, "account/" + name);
  }
  const TemplateParameters parameters("account/" + name, account);
  ClientAccount out;
  out.id = TeamId(name);
  for (const auto& it : fields.items()) {
    BOOST_LEAF_AUTO(text, parameters.Substitute(it.value()));
    BOOST_LEAF_CHECK(ReadField(fmt::format("account/{} {}", name, it.key()),
                               it.key(), text, &out));
  }
  if (out.queues.empty()) {
    return Fail(ErrorCode::kInvalidConfig,
                "account/" + name + ": no queue is given");
  }
  return out;
}

}  // namespace bw
