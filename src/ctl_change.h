/// Posting a change so that a lost answer never commits it twice.
#pragma once

#include "ctl_commands.h"

namespace jacinthvale {

/// Posts a change to one daemon after the other until an answer says what became of it. The change id stays
/// the same, so that a repeated post finds an earlier one's commit.
ctl_answer postChange(ctl_client &client, const std::vector<endpoint> &daemons, const std::string &path,
                      const nlohmann::json &body);

/// Completes a change with its id and base revision, posts it and prints what became of it.
ctl_exit commitChange(ctl_client &client, const ctl_request &request, const std::string &path,
                      nlohmann::json body);

} // namespace jacinthvale
