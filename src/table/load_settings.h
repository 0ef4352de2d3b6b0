// Settings of bwload.
#pragma once

#include "common_settings.h"

namespace bw::table {

inline constexpr SettingDesc kLoadSettings[] = {
    {"log", "levels", SettingType::kText, "warn", 0, 1000,
     "Default log level, then levels of parts, as in warn,mesh=info."},
    {"load", "gates", SettingType::kList, "", 0, 0,
     "Gates to call: http://ip:port, comma-separated."},
    {"load", "teams", SettingType::kList, "", 0, 0,
     "TEAM:KEY:SHARE:WEIGHT, comma-separated. The weight is the team's "
     "proportion of the load."},
    {"load", "seed", SettingType::kInt, "1", 0, 1000000000,
     "Random seed; the same seed gives the same arrivals."},
    {"load", "seconds", SettingType::kInt, "10", 1, 3600,
     "Length of the run, in s."},
    {"load", "requests_per_s", SettingType::kInt, "100", 0, 20000,
     "Requests per second, total of all teams."},
    {"load", "request_ms", SettingType::kInt, "20", 0, 60000,
     "Mean run time of a request, in ms."},
    {"load", "jobs_per_s", SettingType::kInt, "0", 0, 5000,
     "Jobs per second, total of all teams."},
    {"load", "job_tasks", SettingType::kInt, "3", 1, 1000, "Tasks per job."},
    {"load", "job_ms", SettingType::kInt, "1000", 1, 600000,
     "Mean run time of a task, in ms."},
    {"load", "job_millicores", SettingType::kInt, "1000", 1, 1024000,
     "Mean size of a task, in millicores; sizes vary from half to double."},
    {"load", "gang_percent", SettingType::kInt, "10", 0, 100,
     "Share of gang jobs (all tasks run at once), in percent."},
    {"load", "request_queue", SettingType::kName, "now", 0, 0,
     "Queue of requests."},
    {"load", "job_queue", SettingType::kName, "batch", 0, 0, "Queue of jobs."},
    {"load", "runners", SettingType::kList, "", 0, 0,
     "Stand-in runners whose event records are read: http://ip:port, "
     "comma-separated."},
    {"load", "workers", SettingType::kList, "", 0, 0,
     "Stand-in workers whose event records are read: http://ip:port, "
     "comma-separated."},
    {"load", "worker_cores", SettingType::kInt, "32", 1, 1024,
     "Cores per worker, used to compute packing."},
    {"load", "pages", SettingType::kList, "", 0, 0,
     "Status addresses of the processes whose resource usage is reported."},
    {"load", "format", SettingType::kText, "text", 0, 10,
     "Output format: text or json."},
    {"load", "out", SettingType::kText, "", 0, 4096,
     "File to which the report is written as JSON; empty: none."},
};

}  // namespace bw::table
