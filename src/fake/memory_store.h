// In-memory stand-in for the platform's store: fenced appends, compacted keys
// and member groups. Unit tests use it directly; bwfakeplatform serves it over
// HTTP.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "../platform/store.h"

namespace bw::fake {

/// Executes each call at once, but queues its response until RespondToAll().
/// All members are public so that tests can set up and inspect the state.
class MemoryStore : public platform::Store {
 public:
  using Status = platform::StoreStatus;

  /// Larger records are rejected as invalid.
  static constexpr size_t kMaxRecordBytes = 256 << 10;
  /// Calls with more bytes of records are rejected as invalid.
  static constexpr size_t kMaxCallBytes = 2 << 20;

  /// Fault that the next calls meet.
  enum class FaultMode : uint8_t {
    kNone,
    kRejectCalls,    ///< Not executed; status kRefused.
    kDropResponses,  ///< Appends are executed, reads are not; status kUnknown.
    kDropCalls,      ///< Not executed; status kUnknown.
  };

  void Append(platform::StoreAppend append,
              milliseconds,
              std::function<void(platform::AppendResponse)> done) override {
    ++appends;
    platform::AppendResponse response;
    size_t bytes = 0;
    bool too_large = false;
    for (const auto& it : append.records) {
      bytes += it.size();
      too_large = too_large || it.size() > max_record_bytes;
    }
    too_large = too_large || bytes > kMaxCallBytes;
    if (fault_mode == FaultMode::kRejectCalls) {
      response.status = Status::kRefused;
    } else if (too_large) {
      response.status = Status::kInvalid;
    } else if (fault_mode != FaultMode::kDropCalls) {
      response = DoAppend(append);
      if (fault_mode == FaultMode::kDropResponses) {
        response = {};
      }
    }
    responses.push_back([done, response] { done(response); });
  }

  void Read(const platform::Partition& partition,
            Offset from,
            milliseconds,
            std::function<void(platform::ReadResponse)> done) override {
    platform::ReadResponse response;
    if (fault_mode == FaultMode::kRejectCalls) {
      response.status = Status::kRefused;
    } else if (fault_mode == FaultMode::kNone) {
      const auto& records = log[partition];
      response.status =
          from < first[partition] ? Status::kExpired : Status::kOk;
      response.first = first[partition];
      response.end = records.size();
      if (response.status == Status::kOk && from < records.size()) {
        response.records.assign(records.begin() + static_cast<long>(from),
                                records.end());
      }
    }
    responses.push_back([done, response] { done(response); });
  }

  void ReadNewest(const platform::Partition& partition,
                  const std::string&,
                  std::function<void(platform::NewestResponse)> done) override {
    platform::NewestResponse response;
    if (fault_mode == FaultMode::kRejectCalls) {
      response.status = Status::kRefused;
    } else if (fault_mode == FaultMode::kNone) {
      response.status = Status::kOk;
      response.end = log[partition].size();
      for (const auto& it : compacted[partition]) {
        response.records.push_back({it.first, it.second, 0});
      }
    }
    responses.push_back([done, response] { done(response); });
  }

  void Join(const platform::GroupMember& member,
            std::function<void(platform::JoinResponse)> done) override {
    platform::JoinResponse response;
    if (fault_mode == FaultMode::kRejectCalls) {
      response.status = Status::kRefused;
    } else if (fault_mode == FaultMode::kNone) {
      auto& group = groups[member.group];
      const bool is_new = std::find(group.members.begin(), group.members.end(),
                                    member.member) == group.members.end();
      if (is_new) {
        // The platform's groups may assign the partition to a new member; the
        // stand-in always does.
        group.members.insert(group.members.begin(), member.member);
        ++group.generation;
      }
      response.status = Status::kOk;
      response.generation = group.generation;
      // After a change of members the partition's former holder gets it back
      // only once it has joined with the new generation.
      const bool knows_generation =
          is_new || member.generation == group.generation;
      if (group.members.front() == member.member && knows_generation) {
        response.partitions.push_back({member.topics.front(), 0});
      }
      topics[member.group] = member.topics;
      for (const auto& it : member.topics) {
        if (IsKeyed(it)) {
          continue;
        }
        Deal(&group.holders[it], member.member);
      }
    }
    responses.push_back([done, response] { done(response); });
  }

  void Leave(const std::string& group,
             const std::string& member,
             std::function<void(Status)> done) override {
    if (fault_mode == FaultMode::kNone) {
      Expire(group, member);
    }
    const Status status =
        fault_mode == FaultMode::kNone ? Status::kOk : Status::kUnknown;
    responses.push_back([done, status] { done(status); });
  }

  void ReadOwners(const std::string& group,
                  std::function<void(platform::OwnersResponse)> done) override {
    platform::OwnersResponse response;
    if (fault_mode == FaultMode::kRejectCalls) {
      response.status = Status::kRefused;
    } else if (fault_mode == FaultMode::kNone) {
      response.status = Status::kOk;
      const auto& members = groups[group].members;
      for (const auto& topic : topics[group]) {
        if (IsKeyed(topic) && !members.empty()) {
          response.owners.push_back({{topic, 0}, members.front()});
        }
      }
      for (const auto& [topic, holders] : groups[group].holders) {
        uint32_t n = 0;
        for (const auto& it : holders) {
          response.owners.push_back({{topic, n++}, it});
        }
      }
    }
    responses.push_back([done, response] { done(response); });
  }

  /// Removes a member from its group, as if its membership had expired.
  void Expire(const std::string& group, const std::string& member) {
    auto& it = groups[group];
    if (std::erase(it.members, member) > 0) {
      ++it.generation;
    }
    for (auto& topic : it.holders) {
      std::erase(topic.second, member);
    }
  }

  /// @return True for topics with keyed records, which have one partition.
  static bool IsKeyed(const std::string& topic) {
    return topic.starts_with("keyed.");
  }

  /// Gives a member its partition of a topic if one is free. No member has to
  /// give up the only one that it has of the topic.
  static void Deal(std::vector<std::string>* holders,
                   const std::string& member) {
    const bool has_one =
        std::find(holders->begin(), holders->end(), member) != holders->end();
    if (!has_one && holders->size() < kPartitionsPerTopic) {
      holders->push_back(member);
    }
  }

  /// Delivers the queued responses to all calls made so far.
  void RespondToAll() {
    while (!responses.empty()) {
      auto it = std::move(responses.front());
      responses.pop_front();
      it();
    }
  }

  /// Appends a keyed record from outside any fenced producer.
  void Put(const platform::Partition& partition,
           const std::string& key,
           const std::string& value) {
    log[partition].push_back(platform::MakeKeyedRecord(key, value));
    compacted[partition][key] = value;
  }

  struct Group {
    uint64_t generation = 0;
    /// The first is assigned the partition of a keyed topic.
    std::vector<std::string> members;
    /// Members with a partition of each other topic.
    std::map<std::string, std::vector<std::string>> holders;
  };
  struct Producer {
    uint64_t epoch = 0;
    uint64_t next_sequence = 0;
    bool is_new = true;  ///< No append yet: any sequence number is accepted.
    /// Responses by sequence number; a repeated append gets the first one.
    std::map<uint64_t, platform::AppendResponse> responses;
  };

  static constexpr uint32_t kPartitionsPerTopic = 24;

  FaultMode fault_mode = FaultMode::kNone;
  size_t max_record_bytes = kMaxRecordBytes;
  int appends = 0;  ///< Append calls so far, failed ones included.
  /// Queued responses, in the order of the calls.
  std::deque<std::function<void()>> responses;
  std::map<platform::Partition, std::vector<std::string>> log;
  std::map<platform::Partition, Offset> first;  ///< Oldest readable offset.
  /// Newest value of each key.
  std::map<platform::Partition, std::map<std::string, std::string>> compacted;
  std::map<std::string, Group> groups;
  std::map<std::string, std::vector<std::string>> topics;  ///< By group.
  std::map<std::pair<platform::Partition, std::string>, Producer> producers;

 private:
  platform::AppendResponse DoAppend(const platform::StoreAppend& append) {
    platform::AppendResponse out;
    auto& producer = producers[{append.partition, append.producer}];
    if (append.epoch < producer.epoch) {
      out.status = Status::kFenced;
      return out;
    }
    if (append.epoch > producer.epoch) {
      producer = {append.epoch, 0, true, {}};
    }
    out.status = Status::kOk;
    if (append.records.empty()) {
      return out;
    }
    if (auto it = producer.responses.find(append.sequence);
        it != producer.responses.end()) {
      return it->second;
    }
    if (!producer.is_new && append.sequence != producer.next_sequence) {
      out.status = Status::kOutOfOrder;
      out.expected_sequence = producer.next_sequence;
      return out;
    }
    producer.is_new = false;
    producer.next_sequence = append.sequence + 1;
    auto& records = log[append.partition];
    out.offset = records.size();
    for (const auto& it : append.records) {
      records.push_back(it);
      const auto record = platform::ReadKeyedRecord(it);
      compacted[append.partition][record.key] = record.value;
    }
    out.end = records.size();
    producer.responses[append.sequence] = out;
    return out;
  }
};

}  // namespace bw::fake
