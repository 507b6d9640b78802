#pragma once

#include "plankledge_core/Logger.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <vector>

namespace plankledge
{

/** Starts and stops a node. Must outlive runNode(). */
struct NodeHooks
{
    std::function<absl::Status()> m_start;
    std::function<void()> m_requestStop;
};

/** The exit code if the node cannot start. */
inline constexpr int exitStartFailed = 1;

/** Starts a node and runs it until it has shut down, which SIGTERM and SIGINT request.

    @param fields   logged with the "started" event

    @returns the process's exit code
*/
int runNode (boost::asio::io_context& context, Logger& logger, const NodeHooks& node,
             const std::vector<LogField>& fields);

} // namespace plankledge
