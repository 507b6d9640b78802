#pragma once

#include "plankledge_core/Logger.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <vector>

namespace plankledge
{

/** What a node's program does with its node; both outlive the run. */
struct NodeHooks
{
    std::function<absl::Status()> m_start;
    std::function<void()> m_requestStop;
};

/** The exit code of a node that could not start. */
inline constexpr int exitNotStarted = 1;

/** Starts a node, asks it to stop on SIGTERM or SIGINT, and runs until it has ended.

    @param fields   of the log's line at the start

    @returns the process's exit code
*/
int runNode (boost::asio::io_context& context, Logger& logger, const NodeHooks& node,
             const std::vector<LogField>& fields);

} // namespace plankledge
