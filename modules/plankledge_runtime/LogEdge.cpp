#include "plankledge_runtime/LogEdge.h"

namespace plankledge
{

namespace
{

PlatformError platformErrorOf (const absl::Status& status)
{
    const auto payload = status.GetPayload ("plankledge/platform-error");
    return payload.has_value() ? static_cast<PlatformError> (std::string (*payload)[0])
                               : PlatformError::unavailable;
}

} // namespace

//==============================================================================
LogEdge::LogEdge (boost::asio::io_context& context, Node& node, const Endpoint& platform,
                  const InstanceName& self, NodeMetrics& metrics)
    : m_node (node)
    , m_self (self)
    , m_metrics (metrics)
    , m_client (context, platform)
{
}

void LogEdge::execute (const FetchList&)
{
    m_client.fetchList ([this] (const auto& list) {
        reportError (list.status());

        if (! list.ok())
            return;

        if (list->m_unreadable > 0)
            reportError (toStatus (PlatformError::wrongShape));

        m_node.submit (ListReceived { list->m_instances });
    });
}

void LogEdge::execute (const ReadLog& effect)
{
    const auto stream = effect.m_stream == LogStream::configuration ? configurationStream : joinStream;
    m_client.readLog (stream, effect.m_from, [this, effect] (const auto& page) { onPage (effect, page); });
}

void LogEdge::onPage (const ReadLog& read, const absl::StatusOr<LogPage>& page)
{
    reportError (page.status());

    if (! page.ok())
        return;

    if (read.m_stream == LogStream::configuration)
    {
        ConfigurationRead event { read.m_from, page->m_earliest, page->m_next, {} };

        for (const auto& record : page->m_records)
        {
            auto decoded = decodeConfigurationRecord (record);
            reportError (decoded.status());

            if (decoded.ok())
                event.m_records.push_back (*std::move (decoded));
        }

        return m_node.submit (std::move (event));
    }

    JoinsRead event { page->m_next, {} };

    for (const auto& record : page->m_records)
    {
        auto decoded = decodeJoinRecord (record);
        reportError (decoded.status());

        if (decoded.ok())
            event.m_records.push_back (*std::move (decoded));
    }

    m_node.submit (std::move (event));
}

void LogEdge::execute (const AppendJoin& effect)
{
    m_client.append (joinStream, encodeJoinRecord (effect.m_member),
                     [this] (const auto& status) { reportError (status); });
}

void LogEdge::execute (const AppendCheckpoint& effect)
{
    const auto& state = effect.m_state;
    const ConfigurationRecord record {
        -1, ConfigurationRecordKind::checkpoint, m_self, state.m_version, state.m_asOfOffset, state.m_text
    };
    m_client.append (configurationStream, encodeConfigurationRecord (record),
                     [this] (const auto& status) { reportError (status); });
}

void LogEdge::reportError (const absl::Status& status)
{
    if (status.ok())
        return;

    const auto error = platformErrorOf (status);
    ++m_metrics.m_platformErrors[error];
    m_node.logger().write (Severity::debug, "platform-error",
                           { { "reason", std::string (plankledge::nameOf (error)) } });
}

} // namespace plankledge
