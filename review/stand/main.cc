// review_stand CASE: plays one case of the review in the repository's root and
// writes record.txt. Exits with 1 if the rule was broken, 0 if it held, and 2
// if the case couldn't run. With TROUBLE=0 in the environment the disruption is
// left out.
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <thread>

#include "driver.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::strcmp(text, "0") != 0;
}

std::string JobName(unsigned n) {
  char out[17];
  std::snprintf(out, sizeof(out), "5c0e7a21d94b%04x", n);
  return out;
}

void KillAll(World* world) {
  for (size_t n = 0; n < world->Entries(); ++n) {
    world->Signal(n, SIGKILL);
  }
}

void StartAll(World* world) {
  for (size_t n = 0; n < world->Entries(); ++n) {
    world->StartEntry(n);
  }
}

/// RULES, "TWICE": two runs of a task at the same time, or a start after a run
/// has ended `done`, if that end is taken note of then or later, unless the
/// runner's lease lapsed between the two.
/// @param lasting The tasks last: they start again however they end.
int CheckTwice(World* world, bool lasting) {
  std::map<std::string, std::vector<uint64_t>> lapses;
  for (auto& it : world->runners()) {
    lapses[it->Id()] = it->Lapses();
  }
  std::map<std::string, std::vector<Run>> tasks;
  for (const auto& it : world->Runs()) {
    tasks[it.task].push_back(it);
  }
  size_t again = 0;
  size_t together = 0;
  for (const auto& [name, runs] : tasks) {
    for (size_t a = 0; a < runs.size(); ++a) {
      for (size_t b = a + 1; b < runs.size(); ++b) {
        const Run& first = runs[a];
        const Run& second = runs[b];
        if (first.ended_ms == 0 || first.ended_ms > second.began_ms) {
          if (++together <= 10) {
            Record("TWICE: %s runs as %lu on %s and, from %.3f, as %lu on %s",
                   name.c_str(), first.run, first.runner.c_str(),
                   static_cast<double>(second.began_ms) / 1000, second.run,
                   second.runner.c_str());
          }
          continue;
        }
        bool excused = lasting || first.how != "done" || first.noted_ms == 0;
        for (uint64_t at : lapses[first.runner]) {
          excused = excused || (at >= first.ended_ms && at <= first.noted_ms);
        }
        if (!excused && ++again <= 10) {
          Record(
              "TWICE: %s run %lu ended done at %.3f (noted %.3f), and run "
              "%lu began at %.3f",
              name.c_str(), first.run,
              static_cast<double>(first.ended_ms) / 1000,
              static_cast<double>(first.noted_ms) / 1000, second.run,
              static_cast<double>(second.began_ms) / 1000);
        }
      }
    }
  }
  Record(
      "starts after an end that was done and noted: %zu; runs at the same "
      "time: %zu",
      again, together);
  return again + together > 0 ? kBroken : kHeld;
}

/// The machine of the owner loses power while runners end many short tasks.
int ManyEnds() {
  World world({4, 4, 32'000, 65'536});
  if (!world.Start()) {
    return kCouldNotRun;
  }
  const Json job = {
      {"spec", "ms=6000;spread=1500"},
      {"steps",
       {{{"count", 800}, {"cpu", 40}, {"memMb", 64}, {"estimateMs", 6700}}}},
      {"repeatCount", 3},
      {"startAtMs", WallMs() + 300},
      {"intervalMs", 500}};
  if (!world.Submit(JobName(1), job)) {
    return kCouldNotRun;
  }
  // Waits until the first occurrence is about to end.
  const uint64_t until = NowMs() + 5'000;
  while (NowMs() < until && world.Running() < 800) {
    SleepMs(10);
  }
  SleepMs(5'900);
  Record("%zu runs at work", world.Running());
  if (Trouble()) {
    const int owner = world.Owner();
    if (owner < 0) {
      return kCouldNotRun;
    }
    world.Signal(static_cast<size_t>(owner), SIGKILL);
    SleepMs(3'500);
    world.StartEntry(static_cast<size_t>(owner));
  }
  SleepMs(14'000);
  Record("state at the end: %s", world.State(JobName(1)).c_str());
  for (auto& it : world.runners()) {
    Record("runner %s: at most %zu ends not taken note of", it->Id().c_str(),
           it->MostEnds());
  }
  const int out = CheckTwice(&world, /*lasting=*/false);
  world.WriteRuns(4000);
  return out;
}

/// All processes lose power until the leases of a large submission lapse.
int LargeProgress() {
  World world({4, 16, 32'000, 65'536});
  if (!world.Start()) {
    return kCouldNotRun;
  }
  const Json large = {{"spec", "ms=90000"},
                      {"steps",
                       {{{"count", 500},
                         {"cpu", 20},
                         {"memMb", 120},
                         {"estimateMs", 90'000},
                         {"checkpoint", true}}}},
                      {"repeatCount", 14},
                      {"startAtMs", WallMs() + 300},
                      {"intervalMs", 500}};
  const Json small = {{"spec", "ms=90000"},
                      {"steps",
                       {{{"count", 4},
                         {"cpu", 1000},
                         {"memMb", 1000},
                         {"estimateMs", 90'000},
                         {"checkpoint", true}}}}};
  const uint64_t began = NowMs();
  if (!world.Submit(JobName(1), small) || !world.Submit(JobName(2), large)) {
    return kCouldNotRun;
  }
  SleepMs(began + 12'000 - NowMs());
  Record("%zu runs at work", world.Running());
  if (Trouble()) {
    KillAll(&world);
    SleepMs(9'500);
    StartAll(&world);
  }
  SleepMs(14'000);  // finish_s
  // LOST: "one isn't known or gets no answer in time; or, for 3 s, a submission
  // has nothing running while a task's turn has come".
  bool lost = false;
  uint64_t idle_since[2] = {NowMs(), NowMs()};
  const uint64_t until = NowMs() + 25'000;
  while (NowMs() < until && !lost) {
    for (unsigned n = 1; n <= 2; ++n) {
      size_t at_work = 0;
      for (const auto& it : world.Runs()) {
        at_work += it.ended_ms == 0 && it.task.starts_with(JobName(n)) ? 1 : 0;
      }
      if (at_work > 0) {
        idle_since[n - 1] = NowMs();
      } else if (NowMs() - idle_since[n - 1] > 3000 && !lost) {
        lost = true;
        Record(
            "LOST: submission %s has had nothing running for 3 s, %zu runs "
            "at work on all runners",
            JobName(n).c_str(), world.Running());
      }
    }
    SleepMs(100);
  }
  for (unsigned n = 1; n <= 2; ++n) {
    const std::string state = world.State(JobName(n));
    Record("state of %s: %s", JobName(n).c_str(), state.c_str());
    if (state == "410" || state == "no answer") {
      lost = true;
      Record("LOST: accepted submission %s: %s", JobName(n).c_str(),
             state.c_str());
    }
  }
  Record(
      "appends refused for the size of a record: %lu, largest record %zu "
      "bytes; %zu runs at work",
      world.store().Refusals(), world.store().LargestRefused(),
      world.Running());
  world.WriteRuns(200);
  return lost ? kBroken : kHeld;
}

/// All requests to one of ten runners hang while short jobs come.
int WaitingCount() {
  World world({4, 10, 32'000, 65'536});
  if (!world.Start()) {
    return kCouldNotRun;
  }
  const auto job = [](const char* spec, int cpu) {
    return Json{
        {"spec", spec},
        {"steps",
         {{{"count", 1}, {"cpu", cpu}, {"memMb", 500}, {"estimateMs", 1000}}}}};
  };
  // New work goes to the runner with the least room; this shows which it is.
  if (!world.Submit(JobName(1), job("ms=60000", 4000))) {
    return kCouldNotRun;
  }
  SleepMs(1000);
  Runner* runner = nullptr;
  for (auto& it : world.runners()) {
    if (it->CountRunning() > 0) {
      runner = it.get();
    }
  }
  if (runner == nullptr) {
    return kCouldNotRun;
  }
  if (Trouble()) {
    Record("requests to %s hang from now on, for 5.5 s", runner->Id().c_str());
    runner->SetHang(true);
  }
  const uint64_t began = NowMs();
  constexpr unsigned kJobs = 20;
  std::atomic<unsigned> accepted{0};
  std::vector<std::thread> clients;
  for (unsigned n = 0; n < kJobs; ++n) {
    clients.emplace_back([&, n] {
      accepted += world.Submit(JobName(100 + n), job("ms=1000", 1000)) ? 1 : 0;
    });
  }
  for (auto& it : clients) {
    it.join();
  }
  if (accepted < kJobs) {
    return kCouldNotRun;
  }
  const uint64_t last_accepted = NowMs();
  bool broken = false;
  const uint64_t until = began + 12'000;
  while (NowMs() < until) {
    if (NowMs() >= began + 5'500) {
      runner->SetHang(false);
    }
    if (NowMs() > last_accepted + 5'000) {  // visible_ms + 2 s
      std::set<std::string> begun;
      for (const auto& it : world.Runs()) {
        begun.insert(it.task.substr(0, 16));
      }
      size_t before = 0;
      for (unsigned n = 0; n < kJobs; ++n) {
        before += begun.contains(JobName(100 + n)) ? 0 : 1;
      }
      const Answer answer = world.Call("GET", "", "", 0);
      begun.clear();
      for (const auto& it : world.Runs()) {
        begun.insert(it.task.substr(0, 16));
      }
      size_t after = 0;
      for (unsigned n = 0; n < kJobs; ++n) {
        after += begun.contains(JobName(100 + n)) ? 0 : 1;
      }
      if (answer.status == 200) {
        const auto shown = answer.body.value("waiting", 0UL);
        Record(
            "client: GET of the queue -> waiting %lu; not begun: %zu before "
            "the call, %zu after it",
            shown, before, after);
        if (shown * 2 < after) {
          broken = true;
          Record(
              "MIXED: waiting is given as %lu, %zu submissions accepted "
              "over 5 s before haven't begun",
              shown, after);
        }
      }
    }
    SleepMs(200);
  }
  world.WriteRuns(200);
  return broken ? kBroken : kHeld;
}

/// Tasks that last end as `done` once; then the owner is killed.
int LastingEnds() {
  World world({4, 9, 32'000, 65'536});
  if (!world.Start()) {
    return kCouldNotRun;
  }
  // Four runners are busy while the tasks that last start, and idle when they
  // end.
  const Json other = {{"spec", "ms=2000"},
                      {"steps",
                       {{{"count", 4},
                         {"cpu", 20'000},
                         {"memMb", 500},
                         {"estimateMs", 2000}}}}};
  const Json job = {
      {"spec", "ends=4000"},
      {"steps",
       {{{"count", 4}, {"cpu", 4000}, {"memMb", 500}, {"perpetual", true}}}}};
  if (!world.Submit(JobName(1), other)) {
    return kCouldNotRun;
  }
  SleepMs(500);
  if (!world.Submit(JobName(2), job)) {
    return kCouldNotRun;
  }
  SleepMs(8'000);
  if (Trouble()) {
    const int owner = world.Owner();
    if (owner < 0) {
      return kCouldNotRun;
    }
    world.Signal(static_cast<size_t>(owner), SIGKILL);
    SleepMs(1000);
    world.StartEntry(static_cast<size_t>(owner));
  }
  SleepMs(12'000);
  Record("state at the end: %s", world.State(JobName(2)).c_str());
  const int out = CheckTwice(&world, /*lasting=*/true);
  world.WriteRuns(200);
  return out;
}

/// A route with advice is removed while a submission of it is at work; then the
/// owner is killed.
int RemovedRoute() {
  World world({4, 4, 32'000, 65'536});
  if (!world.Start()) {
    return kCouldNotRun;
  }
  const Json job = {
      {"spec", "ms=7000;advice=1"},
      {"steps",
       {{{"count", 4}, {"cpu", 1000}, {"memMb", 500}, {"estimateMs", 7000}},
        {{"count", 4},
         {"cpu", 1000},
         {"memMb", 500},
         {"estimateMs", 7000},
         {"dependsOn", {0}}}}}};
  if (!world.Submit(JobName(1), job, 8, "/b/")) {
    return kCouldNotRun;
  }
  SleepMs(2'000);
  if (Trouble()) {
    world.RemoveSecondRoute();
    SleepMs(2'500);  // configApplyMs is 2,000.
    const int owner = world.Owner();
    if (owner < 0) {
      return kCouldNotRun;
    }
    world.Signal(static_cast<size_t>(owner), SIGKILL);
    SleepMs(1'000);
    world.StartEntry(static_cast<size_t>(owner));
  }
  SleepMs(14'000);  // finish_s
  size_t done = 0;
  for (const auto& it : world.Runs()) {
    done += it.how == "done" ? 1 : 0;
  }
  bool lost = false;
  uint64_t idle_since = NowMs();
  const uint64_t until = NowMs() + 8'000;
  while (NowMs() < until && !lost && done < 8) {
    done = 0;
    size_t at_work = 0;
    for (const auto& it : world.Runs()) {
      done += it.how == "done" ? 1 : 0;
      at_work += it.ended_ms == 0 ? 1 : 0;
    }
    idle_since = at_work > 0 ? NowMs() : idle_since;
    lost = NowMs() - idle_since > 3000;
    SleepMs(100);
  }
  if (lost) {
    Record("LOST: nothing has run for 3 s, %zu of 8 tasks are done", done);
  }
  size_t rejected = 0;
  for (auto& it : world.runners()) {
    rejected += it->RejectedTickets();
  }
  Record("%zu tasks done; starts rejected for want of a ticket: %zu", done,
         rejected);
  world.WriteRuns(100);
  return lost ? kBroken : kHeld;
}

int Main(int argc, char** argv) {
  const std::map<std::string, std::function<int()>> cases = {
      {"many-ends", ManyEnds},
      {"large-progress", LargeProgress},
      {"waiting-count", WaitingCount},
      {"lasting-ends", LastingEnds},
      {"removed-route", RemovedRoute}};
  if (argc < 3 || !cases.contains(argv[1])) {
    std::fputs("review_stand CASE RECORD\n", stderr);
    return kCouldNotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  signal(SIGALRM, [](int) { _exit(kCouldNotRun); });
  alarm(115);
  NowMs();
  OpenRecord(argv[2]);
  Record("case %s, %s", argv[1],
         Trouble() ? "with the disruption" : "without the disruption");
  int out = kCouldNotRun;
  try {
    out = cases.at(argv[1])();
  } catch (const std::exception& e) {
    Record("error: %s", e.what());
  }
  Record("result: %s", out == kBroken ? "the rule was broken"
                       : out == kHeld ? "the rule held"
                                      : "the case couldn't run");
  return out;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const int out = review::Main(argc, argv);
  std::fflush(nullptr);
  std::quick_exit(out);
}
