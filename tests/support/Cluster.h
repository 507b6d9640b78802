#pragma once

#include "plankledge_runtime/HttpClient.h"
#include <functional>
#include <future>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace plankledge::test
{

/** Settings of a target stand-in and its node. */
struct PairOptions
{
    ZoneName m_zone = "a";
    int m_slots = 20;
    double m_serviceMs = 5;
    std::string m_calls;
    std::vector<std::string> m_nodeFlags;
    bool m_isListed = true; /**< whether the target registers in the platform's list */
};

//==============================================================================
/**
    Runs the real programs on a loopback subnet of its own: one platform stand-in, and pairs of
    a target stand-in and its node. The destructor kills all processes.
*/
class Cluster
{
public:
    //==============================================================================
    Cluster();
    ~Cluster();

    Cluster (const Cluster&) = delete;
    Cluster& operator= (const Cluster&) = delete;

    void addPair (const InstanceName& instance, const ServiceName& service, const PairOptions& options = {});
    void startNode (const InstanceName& instance);
    void startTarget (const InstanceName& instance);
    void signalNode (const InstanceName& instance, int signal);
    void signalTarget (const InstanceName& instance, int signal);
    bool isNodeRunning (const InstanceName& instance);

    /** Appends a proposal of declarations to the configuration log.

        @param base   the version that the proposal replaces
    */
    void propose (const std::string& text, std::uint64_t base, const std::string& id);

    /** Sets the faults that a stand-in injects. */
    void controlPlatform (const std::string& json);
    void controlTarget (const InstanceName& instance, const std::string& json);

    /** Waits until all nodes report that they are ready. */
    void waitUntilReady();
    bool isReady (const InstanceName& instance);

    //==============================================================================
    absl::StatusOr<HttpResponse> call (const InstanceName& entry, const std::string& path,
                                       const HttpHeaders& headers = {}, const std::string& body = "body");

    std::future<absl::StatusOr<HttpResponse>> callAsync (const InstanceName& entry, const std::string& path,
                                                         const HttpHeaders& headers = {},
                                                         const std::string& body = "body");

    /** @returns the runs that a target counted, by key or path; the last known ones if it does not answer */
    std::map<std::string, int> runs (const InstanceName& instance);
    int totalRuns (const InstanceName& instance);

    /** @returns the runs of a key and of its nested calls' keys at all targets */
    int runsOf (const std::string& key);

    std::string metric (const InstanceName& instance, const std::string& name);
    std::uint64_t version (const InstanceName& instance);

    /** Runs plankctl.

        @returns its exit code
    */
    int plankctl (const std::vector<std::string>& arguments);
    std::future<int> plankctlAsync (const std::vector<std::string>& arguments);

    std::vector<InstanceName> instances() const;
    Endpoint platform() const;
    Endpoint endpoint (const InstanceName& instance, std::uint16_t port) const;

    /** Writes a file that the destructor removes.

        @returns its path
    */
    std::string writeFile (const std::string& name, const std::string& text);

private:
    //==============================================================================
    struct Pair
    {
        ServiceName m_service;
        PairOptions m_options;
        std::string m_ip;
        pid_t m_node = 0;
        pid_t m_target = 0;
        std::map<std::string, int> m_lastRuns;
        int m_lastTotal = 0;
    };

    pid_t spawn (const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& log);
    void killProcess (pid_t& pid);

    std::string m_subnet;
    std::string m_folder;
    std::map<InstanceName, Pair> m_pairs;
    pid_t m_platform = 0;
};

/** Polls a condition until it holds or a timeout of 60 s expires.

    @returns whether the condition holds
*/
bool waitFor (const std::function<bool()>& condition);

/** @returns the candidate for a lodgement's key at a rank of the rendezvous order; rank 0 is the owner */
InstanceName candidateOf (const std::string& key, const std::vector<InstanceName>& instances,
                          std::size_t rank = 0);

/** @returns the headers of an attempt with a key */
HttpHeaders makeAttemptHeaders (const std::string& key, int attempt, int ageMs);

std::string outcomeOf (const absl::StatusOr<HttpResponse>& response);
std::string reasonOf (const absl::StatusOr<HttpResponse>& response);

/** Declarations of the services search, plans, corrections and lodgement. */
extern const char* const landRegistryDeclarations;

} // namespace plankledge::test
