#pragma once

#include "plankledge_core/Identity.h"

#include <compare>
#include <cstddef>
#include <string>
#include <sys/types.h>

namespace plankledge::test
{

/** Limits of the machine that a process runs on. */
struct MachineLimits
{
    std::size_t m_memoryMegabytes = 64; /**< in units of 2^20 bytes */
    std::size_t m_descriptors = 1024;

    std::size_t memoryBytes() const noexcept { return m_memoryMegabytes << 20U; }

    auto operator<=> (const MachineLimits&) const = default;
};

//==============================================================================
/**
    The node's program as a separate process under the limits of a small machine.

    An allocation beyond the machine's memory fails in the process, and so does a descriptor beyond
    the limit. Signals only the process that it started.
*/
class NodeProcess
{
public:
    //==============================================================================
    struct Options
    {
        std::string m_logFile;
        InstanceName m_instance;
        ServiceName m_service;
        std::string m_ip;
        Endpoint m_store;
        MachineLimits m_limits;
    };

    /** Starts the process; throws std::runtime_error if that fails. */
    explicit NodeProcess (Options options);

    /** Kills the process. */
    ~NodeProcess();

    NodeProcess (const NodeProcess&) = delete;
    NodeProcess& operator= (const NodeProcess&) = delete;

    //==============================================================================
    Endpoint peers() const { return { m_options.m_ip, 7001 }; }
    Endpoint ready() const { return { m_options.m_ip, 7002 }; }
    Endpoint outbound() const { return { m_options.m_ip, 7004 }; }
    Endpoint control() const { return { m_options.m_ip, 7006 }; }
    Endpoint target() const { return { m_options.m_ip, 8001 }; }
    Endpoint metrics() const { return { m_options.m_ip, 9464 }; }

    const Options& options() const noexcept { return m_options; }

    /** @returns whether the process has not ended */
    bool isRunning();

    /** Asks the process to stop. */
    void requestStop();

    /** Kills the process, and waits until it has ended. */
    void kill();

    /** Asks the process to stop, and waits until it has ended. */
    void stop();

    /** Measures memory and descriptors; to be called often. */
    void sample();

    /** @returns the largest sum seen of resident memory and of bytes that have arrived but are not read */
    std::size_t peakMemoryBytes() const noexcept { return m_peakMemoryBytes; }

    /** @returns the largest number of open descriptors seen */
    std::size_t peakDescriptors() const noexcept { return m_peakDescriptors; }

    /** @returns what the process has logged */
    std::string log() const;

private:
    //==============================================================================
    std::size_t unreadBytes() const;

    const Options m_options;
    pid_t m_process = 0;
    std::size_t m_peakMemoryBytes = 0;
    std::size_t m_peakDescriptors = 0;
};

} // namespace plankledge::test
