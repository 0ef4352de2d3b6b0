// Configuration changes by operators: reads and checks template files, computes
// the differences and publishes them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "control_func.h"
#include "platform/log_service.h"
#include "setting_base.h"

namespace bw {

/// Objects of a template file: JSON body by name ("account/NAME" and so on).
using ObjectSet = std::map<std::string, std::string>;

/// Reads a template file (INI: [fleet], [template.NAME], [account.NAME]) and
/// validates it together with the published objects.
/// @param published May be empty.
/// @param[out] errors All errors found; empty on success.
ObjectSet ReadTemplateFile(const std::string& file,
                           const ControlState& published,
                           std::vector<SettingError>* errors);

/// @return The changes that turn the published objects into `wanted`.
/// @param prune Also remove accounts and templates that are not in `wanted`.
std::vector<ObjectChange> Difference(const ControlState& published,
                                     const ObjectSet& wanted,
                                     bool prune);

/// Reads the control stream up to its tail.
leaf::result<ControlState> ReadControl(platform::LogService* log);

/// Appends a change and waits until it is read back, which gives the same
/// result as at every other reader. An append without a response is also
/// searched for in the stream.
/// @pre `state` was read by ReadControl.
leaf::result<ChangeResult> Publish(platform::LogService* log,
                                   ControlState state,
                                   const std::string& by,
                                   const std::vector<ObjectChange>& changes,
                                   milliseconds timeout);

/// @return Help text on the fields of a template file.
std::string TemplateHelp();

}  // namespace bw
