#include "support/StoreStandin.h"

#include "plankledge_core/Logger.h"

#include <absl/algorithm/container.h>
#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/endian/conversion.hpp>
#include <fmt/format.h>
#include <memory>
#include <stdexcept>
#include <utility>

namespace plankledge::test
{

namespace
{

constexpr std::size_t listPageSize = 3; // small, so that tests cover paging

/** Decodes "%20" and the like (RFC 3986, section 2.1). */
std::string decodePercent (std::string_view text)
{
    std::string decoded;

    for (std::size_t index = 0; index < text.size(); ++index)
    {
        const auto hex = text.substr (index + 1, 2);

        if (text[index] == '%' && hex.size() == 2 && absl::c_all_of (hex, [] (char digit) {
                return absl::ascii_isxdigit (static_cast<unsigned char> (digit));
            }))
        {
            decoded += absl::HexStringToBytes (absl::string_view (hex.data(), hex.size()));
            index += 2;
        }
        else
        {
            decoded += text[index];
        }
    }

    return decoded;
}

std::string queryValue (const std::string& target, const std::string& name)
{
    const auto start = target.find (name + "=");

    if (start == std::string::npos)
        return {};

    const auto from = start + name.size() + 1;
    return decodePercent (std::string_view (target).substr (from, target.find ('&', from) - from));
}

HttpResponse makeStatus (std::uint16_t status, std::string body = "{}")
{
    HttpResponse response;
    response.m_status = status;
    response.m_body = std::move (body);
    return response;
}

template <class Number> std::string bigEndian (Number number)
{
    const auto swapped = boost::endian::native_to_big (number);
    return { reinterpret_cast<const char*> (&swapped), sizeof (swapped) };
}

std::uint16_t freePort()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor (context, { boost::asio::ip::make_address ("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
}

} // namespace

//==============================================================================
StoreStandin::StoreStandin (boost::asio::io_context& context)
    : m_context (context)
    , m_server (context, { [this] (const HttpRequest& request, const HttpServer::Respond& respond) {
                              return onRequest (request, respond);
                          },
                           [] (HttpServerError) { return makeStatus (400); } })
    , m_endpoint { "127.0.0.1", freePort() }
{
    if (! m_server.listen (m_endpoint).ok())
        throw std::runtime_error ("StoreStandin: cannot listen on a loopback port");
}

/** @returns a responder that adds the era at the time of the response */
HttpServer::Respond StoreStandin::withEra (const HttpServer::Respond& respond) const
{
    return [this, respond] (HttpResponse response) {
        response.m_headers.emplace_back ("Store-Era",
                                         m_eraOverride.empty() ? std::to_string (m_era) : m_eraOverride);
        respond (std::move (response));
    };
}

HttpServer::Respond StoreStandin::withDelay (const HttpServer::Respond& respond) const
{
    if (m_responseDelay.count() == 0)
        return respond;

    return [this, respond, delay = m_responseDelay] (HttpResponse response) {
        const auto timer = std::make_shared<boost::asio::steady_timer> (m_context, delay);
        timer->async_wait (
            [timer, respond, response = std::move (response)] (const auto&) { respond (response); });
    };
}

std::function<void()> StoreStandin::onRequest (const HttpRequest& request,
                                               const HttpServer::Respond& respondWithoutEra)
{
    if (m_onCall)
        m_onCall (request.m_target);

    const auto respond = withEra (withDelay (respondWithoutEra));
    const auto topic = queryValue (request.m_target, "topic");

    if (m_fault == Fault::noResponse)
        m_unanswered.push_back (respond);
    else if (m_fault == Fault::unavailable)
        respond (makeStatus (503));
    else if (m_fault == Fault::tooManyRequests)
        respond (makeStatus (429));
    else if (request.m_target.starts_with ("/-/log-append"))
    {
        const auto appended = append (request, topic);

        if (m_fault == Fault::responseLost)
            m_unanswered.push_back (respond);
        else
            respond (appended);
    }
    else if (request.m_target.starts_with ("/-/log-newest"))
        respond (list (topic, m_fault == Fault::repeatedPage ? "" : queryValue (request.m_target, "after")));
    else if (request.m_target.starts_with ("/-/log-read"))
    {
        const auto from = std::stoul (queryValue (request.m_target, "startKey"));
        const std::chrono::milliseconds maxWait (std::stol (queryValue (request.m_target, "waitMs")));

        if (isBlocking (m_topics[topic], from) && maxWait.count() > 0)
            wait (topic, from, maxWait, respond);
        else
            read (topic, from, respond);
    }
    else
        respond (makeStatus (404));

    return {};
}

//==============================================================================
HttpResponse StoreStandin::append (const HttpRequest& request, const std::string& topic)
{
    ++m_appends;
    const std::string bytes (request.m_body);
    const auto keyLength = static_cast<unsigned char> (bytes.at (4));
    put (topic, bytes.substr (5, keyLength), bytes.substr (5U + keyLength));
    return makeStatus (200, R"({"offset":0,"endKey":0})");
}

void StoreStandin::put (const std::string& topic, const std::string& key, const std::string& value)
{
    auto& entry = m_topics[topic];
    entry.m_newest[key] = { entry.m_first + entry.m_records.size(), value };
    entry.m_records.push_back ({ key, value });

    if (value.empty())
        entry.m_newest.erase (key);

    wakeReaders();
}

void StoreStandin::compact (const std::string& topic)
{
    auto& entry = m_topics[topic];
    entry.m_first += entry.m_records.size();
    entry.m_records.clear();
}

std::string StoreStandin::newest (const std::string& topic, const std::string& key) const
{
    const auto found = m_topics.find (topic);

    if (found == m_topics.end() || ! found->second.m_newest.contains (key))
        return {};

    return found->second.m_newest.at (key).second;
}

HttpResponse StoreStandin::list (const std::string& topic, const std::string& after) const
{
    const auto found = m_topics.find (topic);

    if (found == m_topics.end())
        return makeStatus (200, R"({"items":[],"morePages":false,"endKey":0})");

    const auto& entry = found->second;
    std::string items;
    std::size_t count = 0;
    auto at = entry.m_newest.upper_bound (after);

    for (; at != entry.m_newest.end() && count < listPageSize; ++at, ++count)
        items +=
            fmt::format (R"({}{{"tlsKey":"{}","value":"{}","offset":{}}})", count > 0 ? "," : "",
                         escapeJson (at->first), absl::Base64Escape (at->second.second), at->second.first);

    const auto end = static_cast<std::int64_t> (entry.m_first + entry.m_records.size());
    return makeStatus (200, fmt::format (R"({{"items":[{}],"morePages":{},"endKey":{}}})", items,
                                         at != entry.m_newest.end() || m_fault == Fault::repeatedPage,
                                         m_fault == Fault::negativeOffsets ? -end : end));
}

//==============================================================================
bool StoreStandin::isBlocking (const Topic& topic, std::size_t from) const
{
    return m_fault != Fault::allGone && from == topic.m_first + topic.m_records.size();
}

void StoreStandin::read (const std::string& topic, std::size_t from, const HttpServer::Respond& respond)
{
    const auto& entry = m_topics[topic];

    if (m_fault == Fault::allGone || from < entry.m_first || from > entry.m_first + entry.m_records.size())
        return respond (makeStatus (410, fmt::format (R"({{"firstOffset":{}}})", entry.m_first)));

    respond (page (entry, from));
}

void StoreStandin::wait (const std::string& topic, std::size_t from, std::chrono::milliseconds maxWait,
                         const HttpServer::Respond& respond)
{
    m_waiting.push_back ({ ++m_lastWaiting, topic, from, respond });
    const auto timer = std::make_shared<boost::asio::steady_timer> (m_context, maxWait);
    timer->async_wait ([this, timer, number = m_lastWaiting] (const auto&) { endWait (number); });
}

/** Ends a blocking read without records, unless it has ended. */
void StoreStandin::endWait (std::uint64_t number)
{
    const auto found =
        absl::c_find_if (m_waiting, [number] (const Waiting& waiting) { return waiting.m_number == number; });

    if (found == m_waiting.end())
        return;

    const auto reader = std::move (*found);
    m_waiting.erase (found);

    if (m_fault == Fault::noResponse)
        m_unanswered.push_back (reader.m_respond);
    else
        read (reader.m_topic, reader.m_from, reader.m_respond);
}

HttpResponse StoreStandin::page (const Topic& topic, std::size_t from) const
{
    const auto end = static_cast<std::uint64_t> (topic.m_first + topic.m_records.size());
    auto bytes = bigEndian (m_fault == Fault::negativeOffsets ? 0 - end : end) +
                 bigEndian (static_cast<std::uint64_t> (topic.m_first));

    const auto first = from - topic.m_first;
    const auto available = topic.m_records.size() - first;
    const std::size_t limit = m_fault == Fault::emptyReads       ? 0
                              : m_fault == Fault::truncatedReads ? 1
                                                                 : available;
    const auto count = std::min (available, limit);

    for (auto index = first; index < first + count; ++index)
    {
        const auto& record = topic.m_records[index];
        bytes += bigEndian (static_cast<std::uint32_t> (1 + record.m_key.size() + record.m_value.size()));
        bytes += static_cast<char> (record.m_key.size());
        bytes += record.m_key + record.m_value;
    }

    return makeStatus (200, std::move (bytes));
}

void StoreStandin::wakeReaders()
{
    for (auto& reader : std::exchange (m_waiting, {}))
        if (isBlocking (m_topics[reader.m_topic], reader.m_from))
            m_waiting.push_back (std::move (reader));
        else
            read (reader.m_topic, reader.m_from, reader.m_respond);
}

} // namespace plankledge::test
