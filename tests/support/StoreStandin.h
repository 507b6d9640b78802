#pragma once

#include "plankledge_runtime/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace plankledge::test
{

//==============================================================================
/**
    A stand-in for the platform's store on loopback: keyed topics with one partition, blocking
    reads with a timeout, and the documented faults of the store.
*/
class StoreStandin
{
public:
    //==============================================================================
    enum class Fault
    {
        none,
        unavailable,     /**< responds with 503 and does nothing */
        tooManyRequests, /**< responds with 429 and does nothing */
        noResponse,      /**< never responds */
        responseLost,    /**< appends take effect, but get no response */
        repeatedPage,    /**< each page of a listing is the first one, and says that more follow */
        negativeOffsets, /**< listings and reads end at an offset below zero */
        allGone,         /**< reads get 410, whatever their offset */
        emptyReads,      /**< reads state the topic's end, but return none of the records before it */
        truncatedReads,  /**< reads state the topic's end, but return only the first record */
    };

    struct Record
    {
        std::string m_key;
        std::string m_value;
    };

    /** Listens on a free port.

        @throws std::runtime_error   if it cannot listen
    */
    explicit StoreStandin (boost::asio::io_context& context);

    Endpoint endpoint() const { return m_endpoint; }
    void setFault (Fault fault) { m_fault = fault; }

    /** Sets the time from a call's effect to its response. */
    void setResponseDelay (std::chrono::milliseconds delay) { m_responseDelay = delay; }

    /** Sets a hook that is called with the target of each call, before the call takes effect. */
    void setCallHook (std::function<void (const std::string& target)> hook) { m_onCall = std::move (hook); }

    /** Appends a record regardless of the fault, as an operator does. */
    void put (const std::string& topic, const std::string& key, const std::string& value);

    /** @returns a backup of all topics */
    auto backup() const { return m_topics; }

    /** Restores a backup: repeats the blocking reads, reuses offsets and increments the era. */
    template <class Backup> void restore (const Backup& backup)
    {
        m_topics = backup;
        ++m_era;
        wakeReaders();
    }

    /** Overrides the era in responses; an empty text restores the actual one. */
    void overrideEra (std::string text) { m_eraOverride = std::move (text); }

    /** Drops the log of a topic but keeps the newest value of each key; reads of dropped offsets get 410. */
    void compact (const std::string& topic);

    /** @returns the newest value of a key, or an empty text */
    std::string newest (const std::string& topic, const std::string& key) const;

    std::size_t appends() const noexcept { return m_appends; }

private:
    //==============================================================================
    struct Topic
    {
        std::size_t m_first = 0; /**< offset of the first retained record */
        std::vector<Record> m_records;
        std::map<std::string, std::pair<std::size_t, std::string>> m_newest;
    };

    struct Waiting
    {
        std::uint64_t m_number = 0;
        std::string m_topic;
        std::size_t m_from = 0;
        HttpServer::Respond m_respond;
    };

    HttpServer::Respond withEra (const HttpServer::Respond& respond) const;
    HttpServer::Respond withDelay (const HttpServer::Respond& respond) const;
    std::function<void()> onRequest (const HttpRequest& request,
                                     const HttpServer::Respond& respondWithoutEra);
    HttpResponse append (const HttpRequest& request, const std::string& topic);
    HttpResponse list (const std::string& topic, const std::string& after) const;
    void read (const std::string& topic, std::size_t from, const HttpServer::Respond& respond);
    void wait (const std::string& topic, std::size_t from, std::chrono::milliseconds maxWait,
               const HttpServer::Respond& respond);
    void endWait (std::uint64_t number);
    bool isBlocking (const Topic& topic, std::size_t from) const;
    HttpResponse page (const Topic& topic, std::size_t from) const;
    void wakeReaders();

    boost::asio::io_context& m_context;
    HttpServer m_server;
    Endpoint m_endpoint;
    std::chrono::milliseconds m_responseDelay { 0 };
    std::function<void (const std::string& target)> m_onCall;
    Fault m_fault = Fault::none;
    std::map<std::string, Topic> m_topics;
    std::vector<Waiting> m_waiting;
    std::uint64_t m_lastWaiting = 0; /**< number of the latest blocking read */
    std::vector<HttpServer::Respond> m_unanswered;
    std::size_t m_appends = 0;
    std::uint64_t m_era = 1;
    std::string m_eraOverride;
};

} // namespace plankledge::test
