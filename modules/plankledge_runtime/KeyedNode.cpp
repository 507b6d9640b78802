#include "plankledge_runtime/KeyedNode.h"

#include "plankledge_formats/DeclarationsJson.h"
#include "plankledge_runtime/HttpErrorResponses.h"

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>

namespace plankledge
{

DeclarationsParser makeDeclarationsParser()
{
    return [] (const std::string& text) { return parseValidDeclarations (text); };
}

//==============================================================================
KeyedNode::KeyedNode (boost::asio::io_context& context, const NodeOptions& options, Logger& logger)
    : m_options (options)
    , m_resources (std::make_shared<ProcessResources> (options.m_limits))
    , m_node (context, std::make_unique<Reducer> (options.m_settings, makeDeclarationsParser()), logger)
    , m_callers (context, m_node, m_metrics, m_resources)
    , m_target (context, m_node, options.m_target, m_metrics, m_resources)
    , m_log (context, m_node, options.m_platform, options.m_settings.m_self.m_id.m_instance, m_metrics)
    , m_peers (context, m_node, options.m_settings.m_self.m_id, m_metrics, m_resources)
    , m_adminServer (context, adminHooks(), m_resources)
{
    m_node.addEdge (handlerOf (m_callers));
    m_node.addEdge (handlerOf (m_target));
    m_node.addEdge (handlerOf (m_peers));
    m_node.addEdge (handlerOf (m_log));
    m_node.addShutdownStep ({ [this] { m_callers.shutDown(); }, [this] { return m_callers.isShutDown(); } });
    m_node.addShutdownStep ({ [this] { m_peers.shutDown(); }, [this] { return m_peers.isShutDown(); } });
}

absl::Status KeyedNode::start()
{
    if (! m_options.m_tracePath.empty())
    {
        auto trace = std::make_unique<TraceWriter> (m_options.m_tracePath);

        if (! trace->isOpen())
            return absl::InvalidArgumentError ("cannot open the trace file for writing");

        m_node.recordTo (std::move (trace), m_options.m_settings);
    }

    if (auto status = listen(); ! status.ok())
        return status;

    m_node.start();
    m_target.start();
    return absl::OkStatus();
}

absl::Status KeyedNode::listen()
{
    auto status = m_peers.listen (m_options.m_settings.m_self.m_endpoint);
    status.Update (m_adminServer.listen (m_options.m_adminEndpoint));
    status.Update (m_callers.listen (m_options.m_callerEndpoint, m_options.m_outboundEndpoint));
    return status;
}

void KeyedNode::requestStop()
{
    m_callers.closeAfterResponses();
    m_node.requestStop();
}

//==============================================================================
HttpServer::Hooks KeyedNode::adminHooks()
{
    HttpServer::Hooks hooks;
    hooks.m_onRequest = [this] (const HttpRequest& request, const HttpServer::Respond& respond) {
        respond (answerAdmin (request));
        return std::function<void()>();
    };
    hooks.m_onError = [this, responses = HttpErrorResponses()] (HttpServerError error) mutable {
        ++m_metrics.m_badHttp[error];
        return responses (error);
    };
    hooks.m_smallPriority = MemoryPriority::begunWork; // operators are served also when memory is short
    return hooks;
}

HttpResponse KeyedNode::answerAdmin (const HttpRequest& request)
{
    const auto& reducer = m_node.reducer();
    HttpResponse response;

    if (request.m_target == "/metrics")
    {
        auto traffic = m_peers.traffic();
        traffic.m_platform = m_log.bytes();
        response.m_contentType = "text/plain; version=0.0.4";
        response.m_body = renderMetrics (reducer, m_metrics, traffic);
        appendResources (response.m_body, *m_resources);
    }
    else if (request.m_target == "/state")
    {
        response.m_body = renderState (reducer);
    }
    else if (request.m_target == "/healthz")
    {
        response.m_body = R"({"status":"alive"})";
    }
    else if (request.m_target == "/readyz")
    {
        const bool isReady = reducer.configuration().version() > 0 && reducer.isEstablished() &&
                             ! reducer.isDraining() && m_target.isServing();
        response.m_status = isReady ? 200 : 503;
        response.m_body = fmt::format (R"({{"ready":{}}})", isReady);
    }
    else if (request.m_target == "/configuration")
    {
        const auto& state = reducer.configuration().state();
        response.m_headers.emplace_back ("Plankledge-Version", fmt::format ("{}", state.m_version));
        response.m_headers.emplace_back ("Plankledge-As-Of", fmt::format ("{}", state.m_asOfOffset));
        response.m_body = state.m_text;
    }
    else
    {
        response.m_status = 404;
        response.m_body = R"({"title":"no such page"})";
    }

    return response;
}

} // namespace plankledge
