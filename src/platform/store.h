// Client interface of the platform's store: a partitioned log with fenced
// producers, compacted (keyed) topics and consumer groups that assign
// partitions to their members.
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

/// Result of a call to the store.
enum class StoreStatus : uint8_t {
  kOk,
  kRefused,          ///< Not executed: overload, outage or rate limit.
  kFenced,           ///< A producer with a higher epoch has written.
  kOutOfOrder,       ///< The sequence number is not the next expected one.
  kConditionFailed,  ///< The partition does not end at the required offset.
  kExpired,          ///< The requested records have been deleted.
  kFull,             ///< The store is out of space.
  kInvalid,          ///< Request rejected as invalid, or response malformed.
  kUnknown,          ///< No response: possibly executed, now or later.
  kNotSent,          ///< No byte of the request was sent.
};

/// @return The stable name of a status, for logs.
const char* StatusName(StoreStatus status);

/// A partition of a topic.
struct Partition {
  std::string topic;
  uint32_t number = 0;

  auto operator<=>(const Partition&) const = default;
};

/// An append by a fenced producer. An append without records only raises the
/// producer's epoch.
struct StoreAppend {
  Partition partition;
  std::string producer;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  std::vector<std::string> records;
};

/// Response to an append.
struct AppendResponse {
  StoreStatus status = StoreStatus::kUnknown;
  Offset offset = 0;  ///< Offset of the first appended record.
  Offset end = 0;     ///< Offset after the last record of the partition.
  uint64_t expected_sequence = 0;  ///< With kOutOfOrder: number to use next.
};

/// Response to a read.
struct ReadResponse {
  StoreStatus status = StoreStatus::kUnknown;
  Offset end = 0;    ///< Offset after the last record of the partition.
  Offset first = 0;  ///< Oldest offset still stored.
  std::vector<std::string> records;
};

/// The newest record of a key in a compacted topic.
struct KeyedRecord {
  std::string key;
  std::string value;  ///< Empty: the key was deleted.
  Offset offset = 0;

  auto operator<=>(const KeyedRecord&) const = default;
};

/// One page of the newest records of a compacted partition.
struct NewestResponse {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<KeyedRecord> records;
  bool more = false;  ///< Another page follows after the last key.
  Offset end = 0;     ///< Offset after the last record of the partition.
};

/// A member of a consumer group, as sent with a join.
struct GroupMember {
  std::string group;
  std::string member;
  std::vector<std::string> topics;  ///< Whose partitions the group assigns.
  uint32_t ttl_ms = 0;      ///< The membership expires this long after a join.
  uint64_t generation = 0;  ///< Last generation received; 0 before the first.
};

/// Response to a join.
struct JoinResponse {
  StoreStatus status = StoreStatus::kUnknown;
  uint64_t generation = 0;
  std::vector<Partition> partitions;  ///< Partitions assigned to this member.
};

/// The group member to which a partition is assigned.
struct PartitionOwner {
  Partition partition;
  std::string member;

  auto operator<=>(const PartitionOwner&) const = default;
};

/// Response to a query for the owners of a group's partitions.
struct OwnersResponse {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<PartitionOwner> owners;
};

/// Asynchronous interface to the store. Every method returns immediately; the
/// callback `done` receives the response on the HTTP client's thread and must
/// not block. Thread-safe.
class Store {
 public:
  virtual ~Store() = default;

  /// Appends records in order, all or none. The store recognizes a repeat of
  /// one of a producer's last five appends by its sequence number.
  virtual void Append(StoreAppend append,
                      milliseconds timeout,
                      std::function<void(AppendResponse)> done) = 0;

  /// Reads records from offset `from`. Long poll: if there are none, the store
  /// responds once the first record arrives or after `wait`.
  virtual void Read(const Partition& partition,
                    Offset from,
                    milliseconds wait,
                    std::function<void(ReadResponse)> done) = 0;

  /// Reads the newest record of each key, one page per call.
  /// @param after Last key of the previous page; empty for the first page.
  virtual void ReadNewest(const Partition& partition,
                          const std::string& after,
                          std::function<void(NewestResponse)> done) = 0;

  /// Joins a group, or renews the membership of a member.
  virtual void Join(const GroupMember& member,
                    std::function<void(JoinResponse)> done) = 0;
  /// Removes a member from a group.
  virtual void Leave(const std::string& group,
                     const std::string& member,
                     std::function<void(StoreStatus)> done) = 0;
  /// Reads which member owns each partition of a group.
  virtual void ReadOwners(const std::string& group,
                          std::function<void(OwnersResponse)> done) = 0;
};

/// @return A client that accesses the store over HTTP.
/// @param address "ip:port"
/// @pre `http` outlives the client.
std::unique_ptr<Store> MakeHttpStore(std::string address,
                                     net::HttpClient* http);

/// @return A record for a compacted topic; an empty value deletes the key.
/// @pre `key` has 1 to 255 bytes.
std::string MakeKeyedRecord(const std::string& key, const std::string& value);

/// @return Key and value of a record of a compacted topic; the key is empty if
/// the record is malformed.
KeyedRecord ReadKeyedRecord(const std::string& record);

}  // namespace bw::platform
