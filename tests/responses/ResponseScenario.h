#pragma once

#include "support/StoreStandin.h"
#include "untrusted/NodeProcess.h"
#include "untrusted/StubTarget.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace plankledge::test
{

//==============================================================================
/**
    A node at which clients' requests arrive, and nodes of one service with a target each. All are real
    processes; hooks make the targets' responses.
*/
class ResponseScenario
{
public:
    //==============================================================================
    /** Starts the nodes and waits until all targets of the service have been reached.

        @param targets       of the service, a node for each
        @param prepareStore  called before the nodes start; may be empty
    */
    explicit ResponseScenario (std::vector<StubTarget::MakeResponse> targets,
                               const std::function<void (StoreStandin&)>& prepareStore = nullptr);
    ~ResponseScenario();

    ResponseScenario (const ResponseScenario&) = delete;
    ResponseScenario& operator= (const ResponseScenario&) = delete;

    //==============================================================================
    /** Sends a request over a connection of its own.

        @returns all bytes that the client received before the connection was closed, or within 8 s
    */
    std::string exchange (const std::string& method, const std::string& path);

    /** The same; an action is executed some time after the request was sent. */
    std::string exchange (const std::string& method, const std::string& path,
                          const std::function<void()>& action, Duration delay);

    /** A client's connection to the entry, which it keeps for one request after the other. */
    struct KeptConnection;

    /** @returns a connection that is opened with its first request, and again if it was closed */
    std::shared_ptr<KeptConnection> connect();

    /** Sends a request over a connection that has no other in progress.

        @param onAnswer   receives the status of the answer; 0 if the connection is closed without one
    */
    void send (const std::shared_ptr<KeptConnection>& connection, const std::string& method,
               const std::string& path, std::function<void (unsigned)> onAnswer);

    /** Lets clients send one request after the other, each over a connection that it keeps.

        @returns the number of answers with status 200
    */
    std::size_t exchangeAtOnce (std::size_t clients, std::size_t requestsOfEach);

    /** Starts another node of the service, with its target. */
    void addGate (StubTarget::MakeResponse makeResponse);

    /** @returns whether every target of the service has been reached within 15 s */
    bool reachAllTargets();

    /** @returns whether all processes are running */
    bool isRunning();

    StoreStandin& store() noexcept { return m_store; }
    StubTarget& target (std::size_t index) { return *m_targets.at (index); }
    NodeProcess& gate (std::size_t index) { return *m_gates.at (index); }
    NodeProcess& entry() { return *m_entry; }

    /** Runs and measures the processes until a condition holds, for a time at most.

        @returns whether it holds
    */
    bool runUntil (const std::function<bool()>& condition, Duration duration);

    /** @returns the value of a counter in a node's metrics, with its labels in the name; 0 if it is missing
     */
    std::uint64_t counter (const NodeProcess& node, const std::string& name);

private:
    //==============================================================================
    boost::asio::awaitable<void> exchangeOne (std::string request, std::string& received, bool& isDone);
    boost::asio::awaitable<void> exchangeMany (std::size_t requests, std::size_t& served, std::size_t& done);
    boost::asio::awaitable<unsigned> sendKept (std::shared_ptr<KeptConnection> connection,
                                               std::string request);
    NodeProcess::Options makeOptions (const std::string& instance, const std::string& service, int number);
    std::string makeRequest (const std::string& method, const std::string& path, bool isLast);

    boost::asio::io_context m_context { 1 };
    StoreStandin m_store;
    std::string m_folder;
    std::string m_subnet;
    std::unique_ptr<NodeProcess> m_entry;
    std::unique_ptr<StubTarget> m_entryTarget;
    std::vector<std::unique_ptr<NodeProcess>> m_gates;
    std::vector<std::unique_ptr<StubTarget>> m_targets;
    std::uint64_t m_requests = 0;
};

/** @param isHead   whether the request was HEAD, so that the answer has no body

    @returns whether a client's bytes are one answer that the system itself made, with this status
*/
bool isOwnAnswer (const std::string& bytes, int status, bool isHead = false);

} // namespace plankledge::test
