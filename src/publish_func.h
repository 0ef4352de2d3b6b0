// The operators' side: template files, checks, differences and publishing.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "control_func.h"
#include "platform/log_service.h"
#include "setting_base.h"

namespace bw {

/// Objects as a file gives them: name ("account/NAME") to JSON body.
using ObjectSet = std::map<std::string, std::string>;

/// Reads a template file (INI: [fleet], [template.NAME], [account.NAME]) and
/// checks it as a whole together with what is published.
/// @param published May be empty.
/// @param[out] faults Everything wrong; empty on success.
ObjectSet ReadTemplateFile(const std::string& file,
                           const ControlState& published,
                           std::vector<SettingFault>* faults);

/// @return What must change to make `wanted` true.
/// @param prune Also remove accounts and templates that are not wanted.
std::vector<ObjectChange> Difference(const ControlState& published,
                                     const ObjectSet& wanted,
                                     bool prune);

/// Reads the control stream up to its tail.
leaf::result<ControlState> ReadControl(platform::LogService* log);

/// Appends a change and waits for its verdict: the same verdict that every
/// reader reaches. An append whose answer is lost is looked for in the stream.
/// @pre `state` was read by ReadControl.
leaf::result<Verdict> Publish(platform::LogService* log,
                              ControlState state,
                              const std::string& by,
                              const std::vector<ObjectChange>& changes,
                              milliseconds timeout);

/// @return Help on the fields of a template, from the tables.
std::string TemplateHelp();

}  // namespace bw
