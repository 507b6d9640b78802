#pragma once

#include "plankledge_core/Random.h"
#include "plankledge_runtime/HttpClient.h"
#include "plankledge_runtime/HttpServer.h"
#include "plankledge_runtime/TargetClient.h"
#include "soak/Ledger.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>

namespace plankledge::soak
{

/** @returns the body that belongs to a request, a few kilobytes at most; differs in length and content */
std::string bodyOf (const std::string& requestId);

//==============================================================================
/**
    A target as its node sees it: announces itself, runs requests in slots, makes calls
    through its node, leaves and is replaced. It lives in the soak's process, so that what
    it saw goes into the ledger at once.
*/
class SoakTarget
{
public:
    //==============================================================================
    struct Options
    {
        InstanceName m_instance; /**< of the node beside it */
        ServiceName m_service;
        ZoneName m_zone;
        Endpoint m_listen;
        Endpoint m_announced; /**< where its node is to reach it */
        Endpoint m_outbound;  /**< of its node, for calls */
        Endpoint m_control;   /**< of its node, for announcements */
        unsigned m_slots = 10;
        Duration m_work {};
        ServiceName m_callee; /**< that each request calls; empty: none */
        unsigned m_calls = 0;
    };

    /** How its answers are harmed. */
    enum class Health : std::uint8_t
    {
        well,
        slow,   /**< work takes five times as long */
        failing /**< three of ten requests are refused, and as many end with 500 */
    };

    SoakTarget (boost::asio::io_context& context, Ledger& ledger, Options options, std::uint64_t seed);

    void setHealth (Health health) { m_health = health; }

    /** Says that it leaves, serves on for a while, ends, and another life begins. */
    void leave();

private:
    //==============================================================================
    struct Job;

    std::function<void()> onRequest (const HttpRequest& request, const HttpServer::Respond& respond);
    void work (const std::shared_ptr<Job>& job);
    void callNext (const std::shared_ptr<Job>& job);
    void onCallCompleted (CallId call, const TargetClient::Answer& answer);
    void finish (const std::shared_ptr<Job>& job, int status);
    void beginLife();
    void announce();
    void endLife();

    boost::asio::io_context& m_context;
    Ledger& m_ledger;
    const Options m_options;
    Random m_random;
    HttpServer m_server;
    HttpClient m_announcer;
    TargetClient m_outbound;
    boost::asio::steady_timer m_announceTimer;
    boost::asio::steady_timer m_lifeTimer;
    std::map<CallId, std::shared_ptr<Job>> m_calling;
    std::string m_id;
    Health m_health = Health::well;
    unsigned m_life = 0;
    unsigned m_running = 0;
    std::uint64_t m_sequence = 0;
    CallId m_nextCall = 1;
    bool m_isLeaving = false;
    bool m_isServing = false;
};

} // namespace plankledge::soak
