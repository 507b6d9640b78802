#include "untrusted/NodeProcess.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address_v4.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace plankledge::test
{

namespace
{

constexpr int startFailed = 127;

std::string toText (const Endpoint& endpoint)
{
    return fmt::format ("{}:{}", endpoint.m_ip, endpoint.m_port);
}

/** @returns a size from /proc/PID/status, in bytes; 0 if the process has ended */
std::size_t readStatus (pid_t process, const std::string& field)
{
    std::ifstream file (fmt::format ("/proc/{}/status", process));

    for (std::string line; std::getline (file, line);)
        if (line.starts_with (field + ":"))
            return std::stoul (line.substr (field.size() + 1)) << 10U;

    return 0;
}

void setLimit (int resource, std::size_t value)
{
    const rlimit limit { value, value };

    if (::setrlimit (static_cast<__rlimit_resource> (resource), &limit) != 0)
        ::_exit (startFailed);
}

/** Replaces the child process by the program. */
[[noreturn]] void execute (const std::vector<std::string>& arguments, const NodeProcess::Options& options)
{
    std::vector<char*> argv;

    for (const auto& argument : arguments)
        argv.push_back (const_cast<char*> (argument.c_str()));

    argv.push_back (nullptr);
    const int log = ::open (options.m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2 (log, STDOUT_FILENO);
    ::dup2 (log, STDERR_FILENO);
    ::closefrom (STDERR_FILENO + 1);
    ::prctl (PR_SET_PDEATHSIG, SIGKILL); // ends with the test, even if that is killed
    setLimit (RLIMIT_CORE, 0);
    setLimit (RLIMIT_DATA, options.m_limits.memoryBytes());
    setLimit (RLIMIT_NOFILE, options.m_limits.m_descriptors);
    ::execv (argv.front(), argv.data());
    ::_exit (startFailed);
}

} // namespace

//==============================================================================
NodeProcess::NodeProcess (Options options)
    : m_options (std::move (options))
{
    const char* programs = std::getenv ("PLANKLEDGE_PROGRAMS");
    const std::vector<std::string> arguments {
        fmt::format ("{}/plankledge-sidecar", programs != nullptr ? programs : "build"),
        "--instance=" + m_options.m_instance,
        "--service=" + m_options.m_service,
        "--zone=zone-a",
        "--ip=" + m_options.m_ip,
        "--peers=" + toText (peers()),
        "--outbound=" + toText (outbound()),
        "--ready=" + toText (ready()),
        "--control=" + toText (control()),
        "--store=" + toText (m_options.m_store),
        "--announcement_period_s=0.5",
        "--undefok=memory_mb",
        fmt::format ("--memory_mb={}", m_options.m_limits.m_memoryMegabytes),
    };

    m_process = ::fork();

    if (m_process == 0)
        execute (arguments, m_options);

    if (m_process < 0)
        throw std::runtime_error ("failed to start " + arguments.front());
}

NodeProcess::~NodeProcess()
{
    kill();
}

void NodeProcess::requestStop()
{
    if (m_process > 0)
        ::kill (m_process, SIGTERM);
}

void NodeProcess::stop()
{
    if (m_process <= 0)
        return;

    requestStop();
    ::waitpid (m_process, nullptr, 0);
    m_process = 0;
}

void NodeProcess::kill()
{
    if (m_process <= 0)
        return;

    ::kill (m_process, SIGKILL);
    ::waitpid (m_process, nullptr, 0);
    m_process = 0;
}

bool NodeProcess::isRunning()
{
    if (m_process > 0 && ::waitpid (m_process, nullptr, WNOHANG) == m_process)
        m_process = 0;

    return m_process > 0;
}

void NodeProcess::sample()
{
    if (! isRunning())
        return;

    m_peakMemoryBytes = std::max ({ m_peakMemoryBytes, readStatus (m_process, "VmHWM"),
                                    readStatus (m_process, "VmRSS") + unreadBytes() });
    std::error_code error;
    const std::filesystem::directory_iterator files (fmt::format ("/proc/{}/fd", m_process), error);

    if (! error)
        m_peakDescriptors = std::max (m_peakDescriptors,
                                      static_cast<std::size_t> (std::distance (begin (files), end (files))));
}

/** Sums the receive queues of the connections that the node has accepted. */
std::size_t NodeProcess::unreadBytes() const
{
    constexpr std::string_view listening = "0A";
    const auto ip = boost::asio::ip::make_address_v4 (m_options.m_ip).to_bytes();
    const auto address = fmt::format ("{:02X}{:02X}{:02X}{:02X}:", ip[3], ip[2], ip[1], ip[0]);
    const auto ownPort = fmt::format ("{:04X}", target().m_port); // the target's side, not the node's
    std::ifstream file ("/proc/net/tcp");
    std::string line;
    std::getline (file, line);
    std::size_t sum = 0;

    while (std::getline (file, line))
    {
        std::istringstream fields (line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> slot >> local >> remote >> state >> queues;

        if (local.starts_with (address) && ! local.ends_with (ownPort) && state != listening)
            sum += std::stoul (queues.substr (queues.find (':') + 1), nullptr, 16);
    }

    return sum;
}

std::string NodeProcess::log() const
{
    std::ifstream file (m_options.m_logFile);
    return { std::istreambuf_iterator<char> (file), {} };
}

} // namespace plankledge::test
