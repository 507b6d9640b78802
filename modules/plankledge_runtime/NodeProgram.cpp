#include "plankledge_runtime/NodeProgram.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <malloc.h>
#include <string>

namespace plankledge
{

namespace
{

/** Larger buffers are returned to the system when they are freed, in bytes. */
constexpr int mmapThreshold = 128 << 10;

/** Unused memory at the end of the heap that is kept, in bytes, so that the heap does not shrink and grow
   with each message. */
constexpr int trimThreshold = 4 << 20;

} // namespace

int runNode (boost::asio::io_context& context, Logger& logger, const NodeHooks& node,
             const std::vector<LogField>& fields)
{
    // Without fixed thresholds, glibc raises them when a large buffer is freed. Later ones are then taken
    // from the heap, whose memory seldom goes back to the system.
    ::mallopt (M_MMAP_THRESHOLD, mmapThreshold);
    ::mallopt (M_TRIM_THRESHOLD, trimThreshold);

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
