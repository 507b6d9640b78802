#include "plankledge_runtime/NodeProgram.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <string>

namespace plankledge
{

int runNode (boost::asio::io_context& context, Logger& logger, const NodeHooks& node,
             const std::vector<LogField>& fields)
{
    if (const auto status = node.m_start(); ! status.ok())
    {
        logger.write (Severity::error, "start-failed", { { "reason", std::string (status.message()) } });
        return exitStartFailed;
    }

    boost::asio::signal_set stopSignals (context, SIGTERM, SIGINT);
    stopSignals.async_wait ([&node] (const boost::system::error_code& error, int) {
        if (! error)
            node.m_requestStop();
    });

    logger.write (Severity::info, "started", fields);
    context.run();
    return 0;
}

} // namespace plankledge
