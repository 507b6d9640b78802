#pragma once

#include "plankledge_runtime/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>
#include <vector>

namespace plankledge::test
{

//==============================================================================
/**
    A stand-in for the platform's store on loopback: keyed topics with one partition,
    long reads, and the faults that the store is said to have.
*/
class StoreStandin
{
public:
    //==============================================================================
    enum class Fault
    {
        none,
        unavailable, /**< 503: nothing is done */
        tooMany,     /**< 429 */
        silent,      /**< no answer at all */
        answersLost  /**< appends take effect, and their answers are lost */
    };

    struct Record
    {
        std::string m_key;
        std::string m_value;
    };

    /** Listens on a port of its own. */
    explicit StoreStandin (boost::asio::io_context& context);

    Endpoint endpoint() const { return m_endpoint; }
    void setFault (Fault fault) { m_fault = fault; }

    /** Appends as an operator would, past all faults. */
    void put (const std::string& topic, const std::string& key, const std::string& value);

    /** @returns all that it holds */
    auto copy() const { return m_topics; }

    /** Comes back with what a copy holds: reads that wait are cut, offsets are given out again, and the era
     * rises. */
    template <class Copy> void restore (const Copy& copy)
    {
        m_topics = copy;
        ++m_era;
        wakeReaders();
    }

    /** Answers tell this as their era; empty: the true one. */
    void spoilEra (std::string text) { m_spoiledEra = std::move (text); }

    /** Forgets the records of a topic but the newest of each key; reads of older ones get 410. */
    void compact (const std::string& topic);

    /** @returns the newest value of a key, or nothing */
    std::string newest (const std::string& topic, const std::string& key) const;

    std::size_t appends() const noexcept { return m_appends; }

private:
    //==============================================================================
    struct Topic
    {
        std::size_t m_first = 0; /**< offset of the first record that is kept */
        std::vector<Record> m_records;
        std::map<std::string, std::pair<std::size_t, std::string>> m_newest;
    };

    struct Waiting
    {
        std::string m_topic;
        std::size_t m_from = 0;
        HttpServer::Respond m_respond;
    };

    HttpServer::Respond withEra (const HttpServer::Respond& respond) const;
    std::function<void()> onRequest (const HttpRequest& request, const HttpServer::Respond& answer);
    HttpResponse append (const HttpRequest& request, const std::string& topic);
    HttpResponse list (const std::string& topic, const std::string& after) const;
    void read (const std::string& topic, std::size_t from, const HttpServer::Respond& respond);
    HttpResponse page (const Topic& topic, std::size_t from) const;
    void wakeReaders();

    HttpServer m_server;
    Endpoint m_endpoint;
    Fault m_fault = Fault::none;
    std::map<std::string, Topic> m_topics;
    std::vector<Waiting> m_waiting;
    std::vector<HttpServer::Respond> m_unanswered;
    std::size_t m_appends = 0;
    std::uint64_t m_era = 1;
    std::string m_spoiledEra;
};

} // namespace plankledge::test
