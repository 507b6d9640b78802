#pragma once

#include "support/StoreStandin.h"
#include "untrusted/Crowd.h"
#include "untrusted/NodeProcess.h"
#include "untrusted/StubTarget.h"

#include <functional>
#include <memory>

namespace plankledge::test
{

//==============================================================================
/**
    Two nodes on small machines, each beside a target. All routes lead to the service of the second
    node, so that each request at the first one crosses a link between them.
*/
class CrowdScenario
{
public:
    //==============================================================================
    /** Limits for clients in the published configuration, in bytes. Times are 3 s for a header and 15 s for
        an idle connection. */
    static constexpr std::size_t maxHeader = 16U << 10U;
    static constexpr std::size_t maxBody = 1U << 20U;

    /** Starts the nodes and waits until an ordinary request is answered.

        @param limits   of both machines
        @param bodies   limit of a body in the published configuration, in bytes
    */
    explicit CrowdScenario (const MachineLimits& limits = {}, std::size_t bodies = maxBody);
    ~CrowdScenario();

    CrowdScenario (const CrowdScenario&) = delete;
    CrowdScenario& operator= (const CrowdScenario&) = delete;

    //==============================================================================
    NodeProcess& entry() noexcept { return *m_entry; }
    NodeProcess& gate() noexcept { return *m_gate; }
    StubTarget& target() noexcept { return *m_gateTarget; }
    boost::asio::io_context& context() noexcept { return m_context; }

    /** Lets a crowd connect and send until it has sent everything or has had its time, and the nodes
        read and answer it. It stays connected. */
    std::unique_ptr<Crowd> send (const Endpoint& server, std::size_t size, CrowdShape shape);

    /** Runs and measures both processes until a condition holds, for a time at most.

        @returns whether the condition holds
    */
    bool runUntil (const std::function<bool()>& condition, Duration duration);

    /** Sends a request over a connection of its own.

        @param onAnswer   receives the status; 0 if there is no answer
    */
    void request (const Endpoint& server, HttpRequest request, std::function<void (int)> onAnswer);

    /** Sends an ordinary request, and again as a client may after a refusal or a lost connection.

        @returns whether it was answered with status 200
    */
    bool isServed (const Endpoint& server, const HttpRequest& request);

    /** @returns whether an ordinary request at the node is answered */
    bool isServing (const NodeProcess& node);

    /** Checks the machine of one of the nodes, and starts its process anew.

        @param isPlanned   whether the process is asked to stop; otherwise it is killed
    */
    void restart (NodeProcess& node, bool isPlanned);

    /** Checks that both processes run within the limits of their machines. */
    void checkMachines();

    /** @returns a request without a body that is answered by the target */
    static HttpRequest makeRequest (const std::string& path);

    /** @returns the start of a crowd's request, without the headers that frame its body */
    static std::string makeHead (const std::string& method, const std::string& path);

private:
    //==============================================================================
    void checkMachine (NodeProcess& node) const;

    const MachineLimits m_limits;
    boost::asio::io_context m_context { 1 };
    StoreStandin m_store;
    std::string m_folder;
    std::unique_ptr<NodeProcess> m_entry;
    std::unique_ptr<NodeProcess> m_gate;
    std::unique_ptr<StubTarget> m_entryTarget;
    std::unique_ptr<StubTarget> m_gateTarget;
    HttpClient m_client;
};

} // namespace plankledge::test
