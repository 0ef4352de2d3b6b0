// The platform's store: a log of topics with partitions, fenced producers,
// kept keys and groups that deal out partitions.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../clock.h"
#include "../id_type.h"
#include "../net/http_client.h"

namespace bw::platform {

/// How a call to the store ended.
enum class StoreStatus : uint8_t {
  kOk,
  kRefused,     ///< Nothing was done: overload, outage or rate limit.
  kFenced,      ///< A producer with a higher epoch has written.
  kOutOfOrder,  ///< The sequence number does not follow the last one.
  kCondition,   ///< The partition does not end at the wanted offset.
  kExpired,     ///< The wanted records are gone.
  kFull,        ///< The store takes no more bytes.
  kInvalid,     ///< The store does not accept the call.
  kUnknown,     ///< No answer: the call may have been or may yet be executed.
  kNotSent,     ///< No byte of the call left.
};

/// @return The stable name of a status, for logs.
const char* StatusName(StoreStatus status);

/// One partition of one topic.
struct Partition {
  std::string topic;
  uint32_t number = 0;

  auto operator<=>(const Partition&) const = default;
};

/// An append by a fenced producer. Without records it only raises the epoch.
struct StoreAppend {
  Partition partition;
  std::string producer;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  std::vector<std::string> records;
};

struct AppendAnswer {
  StoreStatus status = StoreStatus::kUnknown;
  Offset offset = 0;               ///< Of the first record.
  Offset end = 0;                  ///< Offset of the next record.
  uint64_t expected_sequence = 0;  ///< With kOutOfOrder.
};

struct ReadAnswer {
  StoreStatus status = StoreStatus::kUnknown;
  Offset end = 0;
  Offset first = 0;  ///< Oldest offset still kept.
  std::vector<std::string> records;
};

/// The newest record of one key.
struct KeyedRecord {
  std::string key;
  std::string value;  ///< Empty: the key was dropped.
  Offset offset = 0;

  auto operator<=>(const KeyedRecord&) const = default;
};

struct NewestAnswer {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<KeyedRecord> records;
  bool more = false;  ///< Go on after the last key.
  Offset end = 0;
};

struct GroupMember {
  std::string group;
  std::string member;
  std::string topic;
  uint32_t ttl_ms = 0;
  uint64_t generation = 0;  ///< The last one received; 0 at first.
};

struct JoinAnswer {
  StoreStatus status = StoreStatus::kUnknown;
  uint64_t generation = 0;
  std::vector<Partition> partitions;  ///< Dealt to this member.
};

struct PartitionOwner {
  Partition partition;
  std::string member;

  auto operator<=>(const PartitionOwner&) const = default;
};

struct OwnersAnswer {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<PartitionOwner> owners;
};

/// Interface to the store. Every method returns at once; its last parameter
/// gets the answer on the HTTP client's thread and must not block.
/// Thread-safe.
class Store {
 public:
  virtual ~Store() = default;

  virtual void Append(StoreAppend append,
                      milliseconds timeout,
                      std::function<void(AppendAnswer)> done) = 0;

  /// Reads from `from` on; waits up to `wait` for the first record.
  virtual void Read(const Partition& partition,
                    Offset from,
                    milliseconds wait,
                    std::function<void(ReadAnswer)> done) = 0;

  /// Reads the newest record of each key, a page at a time.
  /// @param after Last key of the page before; empty at first.
  virtual void Newest(const Partition& partition,
                      const std::string& after,
                      std::function<void(NewestAnswer)> done) = 0;

  virtual void Join(const GroupMember& member,
                    std::function<void(JoinAnswer)> done) = 0;
  virtual void Leave(const std::string& group,
                     const std::string& member,
                     std::function<void(StoreStatus)> done) = 0;
  virtual void Owners(const std::string& group,
                      std::function<void(OwnersAnswer)> done) = 0;
};

/// The store over HTTP. @pre `http` outlives the store.
/// @param address "ip:port"
std::unique_ptr<Store> MakeHttpStore(std::string address,
                                     net::HttpClient* http);

/// @return A record of a keyed topic; an empty value drops the key.
/// @pre `key` has 1 to 255 bytes.
std::string MakeKeyedRecord(const std::string& key, const std::string& value);

/// @return Key and value of a record of a keyed topic; the key is empty if
/// the record cannot be read.
KeyedRecord ReadKeyedRecord(const std::string& record);

}  // namespace bw::platform
