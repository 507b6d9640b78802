#pragma once

#include "plankledge_core/Random.h"
#include "plankledge_runtime/HttpClient.h"
#include "plankledge_runtime/HttpServer.h"
#include "plankledge_runtime/TargetClient.h"
#include "soak/RunHistory.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>

namespace plankledge::soak
{

/** @returns the response body that belongs to a request: derived from its id, a few kilobytes at most */
std::string makeBody (const std::string& requestId);

//==============================================================================
/**
    Simulates a target: announces itself to its node, runs requests, makes nested calls through the
    node, drains and restarts.

    Runs in the process of the soak test, so that it can record arrivals directly.
*/
class SoakTarget
{
public:
    //==============================================================================
    struct Options
    {
        InstanceName m_instance; /**< of its node */
        ServiceName m_service;
        ZoneName m_zone;
        Endpoint m_listen;
        Endpoint m_advertised; /**< where its node connects to */
        Endpoint m_outbound;   /**< of its node, for nested calls */
        Endpoint m_control;    /**< of its node, for announcements */
        unsigned m_slots = 10;
        Duration m_workDuration {};
        ServiceName m_callee; /**< service that each request calls; empty: none */
        unsigned m_calls = 0;
        bool m_statesLoad = false; /**< the target states its load, and the duration of its work varies */
    };

    /** How the target handles requests. */
    enum class Health : std::uint8_t
    {
        healthy,
        slow,   /**< runs take five times as long */
        failing /**< 30 % of requests are refused and 30 % fail with status 500 */
    };

    SoakTarget (boost::asio::io_context& context, RunHistory& runHistory, Options options,
                std::uint64_t seed);

    /** @returns the id under which the current incarnation announces itself */
    const std::string& id() const noexcept { return m_id; }

    void setHealth (Health health) { m_health = health; }

    /** Announces that it drains, serves requests for a while, then stops and restarts as a new incarnation.

        Does nothing while draining or stopped.

        @param isAnnounced   false: only its answers state that it is leaving
    */
    void drain (bool isAnnounced = true);

    /** Announces that it has gone, but serves requests for a while longer, then stops and restarts as a new
        incarnation. Its last announcement from before arrives late.

        @param announcementDelay   from now until that announcement arrives
    */
    void withdraw (Duration announcementDelay);

    /** States a rate limit in its answers for a while. */
    void limitRate (double perSecond, Duration duration);

private:
    //==============================================================================
    struct Job;

    std::function<void()> onRequest (const HttpRequest& request, const HttpServer::Respond& respond);
    void startWork (const std::shared_ptr<Job>& job);
    void sendNextCall (const std::shared_ptr<Job>& job);
    void onCallCompleted (CallId call, const TargetClient::Result& answer);
    void finish (const std::shared_ptr<Job>& job, int status);
    std::uint64_t workTimePercent();
    void addLoad (HttpHeaders& headers);
    HttpResponse makeAnswer (const std::string& requestId, std::uint16_t status, bool ran);
    void startIncarnation();
    void announce();
    void sendAnnouncement (std::uint64_t sequence);
    void sendWithdrawal();
    void endIncarnation();

    boost::asio::io_context& m_context;
    RunHistory& m_runHistory;
    const Options m_options;
    Random m_random;
    Random m_loadRandom; /**< separate, so that a seed has the same draws with and without stated loads */
    HttpServer m_server;
    HttpClient m_announcer;
    TargetClient m_outbound;
    boost::asio::steady_timer m_announceTimer;
    boost::asio::steady_timer m_lateAnnouncementTimer;
    boost::asio::steady_timer m_incarnationTimer;
    std::map<CallId, std::shared_ptr<Job>> m_jobsByCall;
    std::string m_id;
    Health m_health = Health::healthy;
    unsigned m_incarnation = 0;
    unsigned m_running = 0;
    std::uint64_t m_sequence = 0;
    CallId m_nextCall = 1;
    std::optional<double> m_rateLimit; /**< requests per second */
    Time m_rateLimitUntil;
    std::uint64_t m_workTimePercent = 100; /**< of the configured work duration */
    Time m_nextWorkTime;
    bool m_isDraining = false;
    bool m_isDrainAnnounced = false;
    bool m_isServing = false;
    bool m_isWithdrawn = false;
};

} // namespace plankledge::soak
