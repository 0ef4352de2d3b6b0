// The platform's store in memory: fenced appends, kept keys, and groups with
// terms. Answers when the test says so. Unit tests use it as it is;
// bwfakeplatform serves it over HTTP.
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

class MemoryStore : public platform::Store {
 public:
  using Status = platform::StoreStatus;

  /// How the next calls go.
  enum class Mood : uint8_t {
    kWell,
    kRefuses,  ///< 503: nothing is done.
    kLoses,    ///< Done, but not answered.
    kSilent,   ///< Not done and not answered.
  };

  void Append(platform::StoreAppend append,
              milliseconds,
              std::function<void(platform::AppendResponse)> done) override {
    ++appends;
    platform::AppendResponse answer;
    if (mood == Mood::kRefuses) {
      answer.status = Status::kRefused;
    } else if (mood != Mood::kSilent) {
      answer = DoAppend(append);
      if (mood == Mood::kLoses) {
        answer = {};
      }
    }
    answers.push_back([done, answer] { done(answer); });
  }

  void Read(const platform::Partition& partition,
            Offset from,
            milliseconds,
            std::function<void(platform::ReadResponse)> done) override {
    platform::ReadResponse answer;
    if (mood == Mood::kRefuses) {
      answer.status = Status::kRefused;
    } else if (mood == Mood::kWell) {
      const auto& records = log[partition];
      answer.status = from < first[partition] ? Status::kExpired : Status::kOk;
      answer.first = first[partition];
      answer.end = records.size();
      if (answer.status == Status::kOk && from < records.size()) {
        answer.records.assign(records.begin() + static_cast<long>(from),
                              records.end());
      }
    }
    answers.push_back([done, answer] { done(answer); });
  }

  void ReadNewest(const platform::Partition& partition,
                  const std::string&,
                  std::function<void(platform::NewestResponse)> done) override {
    platform::NewestResponse answer;
    if (mood == Mood::kRefuses) {
      answer.status = Status::kRefused;
    } else if (mood == Mood::kWell) {
      answer.status = Status::kOk;
      answer.end = log[partition].size();
      for (const auto& it : kept[partition]) {
        answer.records.push_back({it.first, it.second, 0});
      }
    }
    answers.push_back([done, answer] { done(answer); });
  }

  void Join(const platform::GroupMember& member,
            std::function<void(platform::JoinResponse)> done) override {
    platform::JoinResponse answer;
    if (mood == Mood::kRefuses) {
      answer.status = Status::kRefused;
    } else if (mood == Mood::kWell) {
      auto& group = groups[member.group];
      const bool is_new = std::find(group.members.begin(), group.members.end(),
                                    member.member) == group.members.end();
      if (is_new) {
        // As the platform's groups do, a newcomer may take the partition.
        group.members.insert(group.members.begin(), member.member);
        ++group.generation;
      }
      answer.status = Status::kOk;
      answer.generation = group.generation;
      // Who held it before a change has it again only once it has joined with
      // the new generation.
      const bool agreed = is_new || member.generation == group.generation;
      if (group.members.front() == member.member && agreed) {
        answer.partitions.push_back({member.topic, 0});
      }
      topics[member.group] = member.topic;
    }
    answers.push_back([done, answer] { done(answer); });
  }

  void Leave(const std::string& group,
             const std::string& member,
             std::function<void(Status)> done) override {
    if (mood == Mood::kWell) {
      Expire(group, member);
    }
    const Status status = mood == Mood::kWell ? Status::kOk : Status::kUnknown;
    answers.push_back([done, status] { done(status); });
  }

  void ReadOwners(const std::string& group,
                  std::function<void(platform::OwnersResponse)> done) override {
    platform::OwnersResponse answer;
    if (mood == Mood::kRefuses) {
      answer.status = Status::kRefused;
    } else if (mood == Mood::kWell) {
      answer.status = Status::kOk;
      uint32_t n = 0;
      for (const auto& it : groups[group].members) {
        answer.owners.push_back({{topics[group], n++}, it});
      }
    }
    answers.push_back([done, answer] { done(answer); });
  }

  /// Ends a member's term.
  void Expire(const std::string& group, const std::string& member) {
    auto& it = groups[group];
    if (std::erase(it.members, member) > 0) {
      ++it.generation;
    }
  }

  /// Gives the answers to all calls so far.
  void AnswerAll() {
    while (!answers.empty()) {
      auto it = std::move(answers.front());
      answers.pop_front();
      it();
    }
  }

  void Put(const platform::Partition& partition,
           const std::string& key,
           const std::string& value) {
    log[partition].push_back(platform::MakeKeyedRecord(key, value));
    kept[partition][key] = value;
  }

  struct Group {
    uint64_t generation = 0;
    std::vector<std::string> members;  ///< The first holds partition 0.
  };
  struct Producer {
    uint64_t epoch = 0;
    uint64_t next = 0;
    bool fresh = true;
    std::map<uint64_t, platform::AppendResponse> last;
  };

  Mood mood = Mood::kWell;
  int appends = 0;
  std::deque<std::function<void()>> answers;
  std::map<platform::Partition, std::vector<std::string>> log;
  std::map<platform::Partition, Offset> first;
  std::map<platform::Partition, std::map<std::string, std::string>> kept;
  std::map<std::string, Group> groups;
  std::map<std::string, std::string> topics;
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
    if (auto it = producer.last.find(append.sequence);
        it != producer.last.end()) {
      return it->second;
    }
    if (!producer.fresh && append.sequence != producer.next) {
      out.status = Status::kOutOfOrder;
      out.expected_sequence = producer.next;
      return out;
    }
    producer.fresh = false;
    producer.next = append.sequence + 1;
    auto& records = log[append.partition];
    out.offset = records.size();
    for (const auto& it : append.records) {
      records.push_back(it);
      const auto record = platform::ReadKeyedRecord(it);
      kept[append.partition][record.key] = record.value;
    }
    out.end = records.size();
    producer.last[append.sequence] = out;
    return out;
  }
};

}  // namespace bw::fake
