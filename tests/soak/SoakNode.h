#pragma once

#include "plankledge_core/Random.h"
#include "plankledge_runtime/TargetClient.h"
#include "soak/LoopbackProxy.h"
#include "soak/PipelinedCall.h"
#include "soak/SoakTarget.h"

#include <optional>
#include <sys/types.h>

namespace plankledge::soak
{

//==============================================================================
/**
    One instance: the real node as a separate process, its target, the clients that send requests to
    it, and the proxies for its connections from peers, to the target and to the store.

    Signals only the process that it started.
*/
class SoakNode
{
public:
    //==============================================================================
    struct Options
    {
        std::string m_program;
        std::string m_logFile;
        std::string m_ip;
        ZoneName m_zone;
        Endpoint m_store;
        SoakTarget::Options m_target; /**< the constructor sets its zone and addresses */
        std::uint64_t m_seed = 0;
        std::vector<std::string> m_flags; /**< further ones of the node's program */
    };

    /** A client's request. */
    struct ClientRequest
    {
        std::string m_id; /**< value of the Request-Id header */
        std::string m_path;
        SentRequest m_request; /**< recorded in the run history */
    };

    SoakNode (boost::asio::io_context& context, RunHistory& runHistory, const Options& options);
    ~SoakNode();

    SoakNode (const SoakNode&) = delete;
    SoakNode& operator= (const SoakNode&) = delete;

    //==============================================================================
    /** Starts the node's process; throws std::runtime_error if that fails. */
    void start();

    void signal (int number);

    /** Detects the exit of the process, and restarts it once its downtime is over. */
    void checkProcess (Time now);

    /** Kills the process; it is restarted after the given downtime. */
    void kill (Duration downtime);

    bool isRunning() const noexcept { return m_process > 0; }
    unsigned incarnation() const noexcept { return m_incarnation; }

    /** @returns how often a process exited without having been sent SIGTERM or SIGKILL */
    unsigned unexpectedExits() const noexcept { return m_unexpectedExits; }

    //==============================================================================
    /** Sends a client's request to the node's outbound address. */
    void sendRequest (const ClientRequest& request);

    /** Sends repeatable requests together on one connection, and checks what comes back.

        @param idBehindClose   id of a further request, which is sent behind them after the last of them has
                               asked to close the connection; empty: none
    */
    void sendTogether (const std::vector<ClientRequest>& requests, const std::string& idBehindClose);

    /** Abandons requests without a response some time after their timeout. */
    void abandonOverdue (Time now);

    const InstanceName& name() const noexcept { return m_options.m_target.m_instance; }
    SoakTarget& target() noexcept { return *m_target; }
    LoopbackProxy& peerProxy() noexcept { return *m_peerProxy; }
    LoopbackProxy& targetProxy() noexcept { return *m_targetProxy; }
    LoopbackProxy& storeProxy() noexcept { return *m_storeProxy; }

private:
    //==============================================================================
    struct PendingCall
    {
        std::string m_id;
        Time m_abandonAt;
    };

    Endpoint endpointAt (std::uint16_t port) const { return { m_options.m_ip, port }; }
    void onAnswer (CallId call, const TargetClient::Result& answer);
    void onEnded (const std::string& id, const HttpResponse* response);

    boost::asio::io_context& m_context;
    RunHistory& m_runHistory;
    Options m_options;
    TargetClient m_clients;
    std::unique_ptr<LoopbackProxy> m_peerProxy;
    std::unique_ptr<LoopbackProxy> m_targetProxy;
    std::unique_ptr<LoopbackProxy> m_storeProxy;
    std::unique_ptr<SoakTarget> m_target;
    std::map<CallId, PendingCall> m_pendingCalls;
    CallId m_nextCall = 1;
    pid_t m_process = 0;
    unsigned m_incarnation = 0;
    unsigned m_unexpectedExits = 0;
    bool m_isExitExpected = false;
    Time m_startAt;
};

} // namespace plankledge::soak
