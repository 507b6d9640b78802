#pragma once

#include "plankledge_load/Scenario.h"
#include "plankledge_runtime/TargetClient.h"
#include <map>
#include <memory>

namespace plankledge
{

/** What came of one request of a caller, over all its sendings. */
struct RequestResult
{
    std::size_t m_group = 0;
    Milliseconds m_at { 0 }; /**< of the first sending, since the start */
    Duration m_took {};      /**< until the answer that ended it */
    std::uint32_t m_sendings = 0;
    bool m_isCompleted = false; /**< a whole answer with status 200 */
    bool m_wasUnknown = false;  /**< some sending ended so */
    Duration m_lateness {};     /**< how far behind its time the first sending was */
};

//==============================================================================
/**
    Sends a scenario's requests to nodes, each at its time whatever became of the
    others, and lets callers resend as declared.
*/
class LoadRunner
{
public:
    //==============================================================================
    /** @param entries   the caller addresses of each service's nodes */
    LoadRunner (boost::asio::io_context& context, const Scenario& scenario,
                const std::map<ServiceName, std::vector<Endpoint>>& entries);
    ~LoadRunner();

    /** Sends everything; returns once each request has its last answer. */
    std::vector<RequestResult> run (const std::vector<Arrival>& arrivals);

    /** Called when the scenario's trigger begins (true) and ends (false). */
    std::function<void (bool)> m_onTrigger;

private:
    //==============================================================================
    struct Pending;

    void start (std::size_t index);
    void send (std::size_t index);
    void onAnswer (std::size_t index, const TargetClient::Answer& answer);
    void resendLater (std::size_t index, Duration pause);
    Duration elapsed() const;
    void at (Duration time, std::function<void()> action);

    boost::asio::io_context& m_context;
    const Scenario& m_scenario;
    /** An entry of a service, with a pool of connections of its own. */
    struct EntryClient
    {
        Endpoint m_endpoint;
        std::unique_ptr<TargetClient> m_client;
    };

    std::map<ServiceName, std::vector<EntryClient>> m_clients;
    std::vector<Pending> m_pending;
    std::size_t m_open = 0;
    std::size_t m_nextEntry = 0;
    std::string m_runId;
    Time m_started;
};

} // namespace plankledge
