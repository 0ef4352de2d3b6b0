// Each audit finds its kind of violation, and nothing in clean records.
#include <CppUTest/TestHarness.h>

#include "support/audit.h"

namespace bw::test {
namespace {

Json Run(const std::string& id,
         const std::string& body,
         uint64_t begin,
         uint64_t end) {
  return {{"id", id}, {"body", body}, {"begin_ms", begin}, {"end_ms", end}};
}

Json Task(const std::string& id, uint64_t begin, uint64_t end) {
  return {{"id", id},
          {"team", "t"},
          {"millicores", 2000},
          {"begin_ms", begin},
          {"end_ms", end}};
}

Evidence Clean() {
  Evidence out;
  out.runners.push_back(
      {{"overfull", 0},
       {"runs", {Run("t:a:1", "one", 10, 20), Run("t:a:2", "two", 20, 30)}}});
  out.workers.push_back(
      {{"overfull", 0}, {"tasks", {Task("j/0", 10, 20), Task("j/0", 20, 0)}}});
  out.callers = {{"one", "t", 200, "done one", true},
                 {"three", "t", 503, R"({"work":"not_run"})", true}};
  return out;
}

}  // namespace

TEST_GROUP(Audit){};

TEST(Audit, FindsNothingInACleanRecord) {
  STRCMP_EQUAL("", Join(AuditAll(Clean())).c_str());
  STRCMP_EQUAL("", Join(AuditLimit(Clean(), "t", 3)).c_str());
  STRCMP_EQUAL("", Join(AuditNoStartsAfter(Clean(), "t", 20)).c_str());
}

TEST(Audit, FindsAnOverfullInstance) {
  auto evidence = Clean();
  evidence.runners[0]["overfull"] = 1;
  LONGS_EQUAL(1, AuditCapacity(evidence).size());
}

TEST(Audit, FindsATaskInTwoPlaces) {
  auto evidence = Clean();
  evidence.workers.push_back(
      {{"overfull", 0}, {"tasks", {Task("j/0", 25, 40)}}});
  LONGS_EQUAL(1, AuditConcurrentRuns(evidence).size());
}

TEST(Audit, FindsADoubledRequest) {
  auto evidence = Clean();
  evidence.runners.push_back(
      {{"overfull", 0}, {"runs", {Run("t:b:9", "one", 50, 60)}}});
  LONGS_EQUAL(1, AuditRequests(evidence).size());
}

TEST(Audit, FindsAFalseNotRunAndAWrongAnswer) {
  auto evidence = Clean();
  evidence.callers[1].body = "two";
  evidence.callers[0].response = "done two";
  LONGS_EQUAL(2, AuditRequests(evidence).size());
}

TEST(Audit, FindsATeamOverItsLimit) {
  LONGS_EQUAL(1, AuditLimit(Clean(), "t", 2).size());
}

TEST(Audit, FindsACutOffCallerAndALateKey) {
  auto evidence = Clean();
  evidence.callers[0].got_response = false;
  LONGS_EQUAL(1, AuditResponses(evidence).size());
  LONGS_EQUAL(2, AuditNoStartsAfter(evidence, "t", 19).size());
}

}  // namespace bw::test
