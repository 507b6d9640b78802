#pragma once

#include "plankledge_load/Scenario.h"
#include "plankledge_runtime/TargetClient.h"
#include <map>
#include <memory>

namespace plankledge
{

/** Result of one request over all its attempts. */
struct RequestResult
{
    std::size_t m_group = 0;
    Milliseconds m_at { 0 }; /**< of the first attempt, since the start */
    Duration m_latency {};   /**< from the first attempt's scheduled time to the last answer */
    std::uint32_t m_attempts = 0;
    bool m_isCompleted = false;       /**< complete answer with status 200 */
    bool m_hadUnknownOutcome = false; /**< an attempt had an unknown outcome */
    Duration m_lateness {};           /**< delay of the first attempt after its scheduled time */
};

//==============================================================================
/**
    Sends a scenario's requests to nodes in an open loop: each is sent at its scheduled time,
    regardless of the others. Failed requests are retried as the scenario specifies.
*/
class LoadRunner
{
public:
    //==============================================================================
    /** @param entries   the caller addresses of each service's nodes */
    LoadRunner (boost::asio::io_context& context, const Scenario& scenario,
                const std::map<ServiceName, std::vector<Endpoint>>& entries);
    ~LoadRunner();

    /** Sends all requests; returns once each has completed or used up its retries. */
    std::vector<RequestResult> run (const std::vector<Arrival>& arrivals);

    /** Called when the scenario's trigger begins (true) and ends (false). */
    std::function<void (bool)> m_onTrigger;

private:
    //==============================================================================
    struct Pending;

    void start (std::size_t index);
    void send (std::size_t index);
    void onAnswer (std::size_t index, const TargetClient::Result& answer);
    void scheduleRetry (std::size_t index, Duration delay);
    Duration elapsed() const;
    void schedule (Duration time, std::function<void()> action);

    boost::asio::io_context& m_context;
    const Scenario& m_scenario;
    /** An entry node of a service, with its own connection pool. */
    struct EntryClient
    {
        Endpoint m_endpoint;
        std::unique_ptr<TargetClient> m_client;
    };

    std::map<ServiceName, std::vector<EntryClient>> m_clients;
    std::vector<Pending> m_pending;
    std::size_t m_unfinished = 0;
    std::size_t m_nextEntry = 0;
    std::string m_runId;
    Time m_started;
};

} // namespace plankledge
