#pragma once

#include "plankledge_core/Random.h"
#include "plankledge_runtime/TargetClient.h"
#include "soak/LoopbackProxy.h"
#include "soak/SoakTarget.h"

#include <optional>
#include <sys/types.h>

namespace plankledge::soak
{

//==============================================================================
/**
    One instance: the real node as a process of its own, the target beside it, the proxies
    through which it is reached and reaches the store, and the clients of the instance.

    Ends only the process that it started, by its id.
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
        SoakTarget::Options m_target; /**< its addresses are filled in */
        std::uint64_t m_seed = 0;
    };

    SoakNode (boost::asio::io_context& context, Ledger& ledger, const Options& options);
    ~SoakNode();

    SoakNode (const SoakNode&) = delete;
    SoakNode& operator= (const SoakNode&) = delete;

    //==============================================================================
    void start();
    void signal (int number);

    /** Notices the end of the process, and starts it again after a while unless it is to stay away. */
    void look (Time now);

    /** Kills the process, which starts again after so long. */
    void kill (Duration away);

    bool isRunning() const noexcept { return m_process > 0; }
    unsigned life() const noexcept { return m_life; }

    /** @returns processes that ended by themselves, without a signal of the soak */
    unsigned ownEnds() const noexcept { return m_ownEnds; }

    //==============================================================================
    /** Sends a client's request to the node's outbound address. */
    void sendRequest (const std::string& id, const std::string& path, const SentRequest& request);

    /** Gives up what has waited far too long. */
    void dropOverdue (Time now);

    const InstanceName& name() const noexcept { return m_options.m_target.m_instance; }
    SoakTarget& target() noexcept { return *m_target; }
    LoopbackProxy& peerProxy() noexcept { return *m_peerProxy; }
    LoopbackProxy& targetProxy() noexcept { return *m_targetProxy; }
    LoopbackProxy& storeProxy() noexcept { return *m_storeProxy; }

private:
    //==============================================================================
    struct Waiting
    {
        std::string m_id;
        Time m_dropAt;
    };

    Endpoint at (std::uint16_t port) const { return { m_options.m_ip, port }; }
    void onAnswer (CallId call, const TargetClient::Answer& answer);

    Ledger& m_ledger;
    Options m_options;
    TargetClient m_clients;
    std::unique_ptr<LoopbackProxy> m_peerProxy;
    std::unique_ptr<LoopbackProxy> m_targetProxy;
    std::unique_ptr<LoopbackProxy> m_storeProxy;
    std::unique_ptr<SoakTarget> m_target;
    std::map<CallId, Waiting> m_waiting;
    CallId m_nextCall = 1;
    pid_t m_process = 0;
    unsigned m_life = 0;
    unsigned m_ownEnds = 0;
    bool m_isEndExpected = false;
    Time m_startAt;
};

} // namespace plankledge::soak
