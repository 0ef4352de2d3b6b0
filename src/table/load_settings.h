// Settings of bwload.
#pragma once

#include "common_settings.h"

namespace bw::table {

inline constexpr SettingDesc kLoadSettings[] = {
    {"log", "levels", SettingType::kText, "warn", 0, 1000,
     "Log level, then levels of single parts."},
    {"load", "gates", SettingType::kList, "", 0, 0,
     "Gates to call: http://ip:port, separated by commas."},
    {"load", "teams", SettingType::kList, "", 0, 0,
     "TEAM:KEY:SHARE:WEIGHT; a weight is the team's part of the load."},
    {"load", "seed", SettingType::kInt, "1", 0, 1000000000,
     "The same seed gives the same arrivals."},
    {"load", "seconds", SettingType::kInt, "10", 1, 3600,
     "Length of the run, in s."},
    {"load", "requests_per_s", SettingType::kInt, "100", 0, 20000,
     "Requests a second, all teams together."},
    {"load", "request_ms", SettingType::kInt, "20", 0, 60000,
     "Mean run time of a request, in ms."},
    {"load", "jobs_per_s", SettingType::kInt, "0", 0, 5000,
     "Jobs a second, all teams together."},
    {"load", "job_tasks", SettingType::kInt, "3", 1, 1000, "Tasks of a job."},
    {"load", "job_ms", SettingType::kInt, "1000", 1, 600000,
     "Mean run time of a task, in ms."},
    {"load", "job_millicores", SettingType::kInt, "1000", 1, 1024000,
     "Mean size of a task; sizes vary from half to double."},
    {"load", "gang_percent", SettingType::kInt, "10", 0, 100,
     "Part of the jobs that need all tasks at once, in percent."},
    {"load", "request_queue", SettingType::kName, "now", 0, 0,
     "Queue of requests."},
    {"load", "job_queue", SettingType::kName, "batch", 0, 0, "Queue of jobs."},
    {"load", "runners", SettingType::kList, "", 0, 0,
     "Stand-in runners whose records are read: http://ip:port."},
    {"load", "workers", SettingType::kList, "", 0, 0,
     "Stand-in workers whose records are read: http://ip:port."},
    {"load", "worker_cores", SettingType::kInt, "32", 1, 1024,
     "Cores of a worker, for packing."},
    {"load", "pages", SettingType::kList, "", 0, 0,
     "Status addresses of processes whose cost is reported."},
    {"load", "format", SettingType::kText, "text", 0, 10,
     "What is printed: text or json."},
    {"load", "out", SettingType::kText, "", 0, 4096,
     "File for the report as JSON; empty: none."},
};

}  // namespace bw::table
