#include "plankledge_runtime/ResponseReader.h"

#include "plankledge_runtime/HttpMessages.h"

namespace plankledge::detail
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

/** The number of interim responses that are skipped; servers send one or two. */
constexpr unsigned maxInterimResponses = 8;

constexpr unsigned minStatus = 100;
constexpr unsigned maxStatus = 599;

ResponseError classify (const beast::error_code& error, ResponseError violation) noexcept
{
    if (violation != ResponseError::none)
        return violation;

    const bool isFromParser = error.category() == http::make_error_code (http::error::bad_value).category();
    const bool isCut = error == http::error::end_of_stream || error == http::error::partial_message;
    return isFromParser && ! isCut ? ResponseError::syntax : ResponseError::incomplete;
}

} // namespace

//==============================================================================
void ResponseParser::on_header_impl (beast::error_code& error)
{
    const auto status = get().result_int();
    const bool isSwitching = get().result() == http::status::switching_protocols;

    if (status < minStatus || status > maxStatus || isSwitching)
    {
        m_violation = ResponseError::status;
        error = http::error::bad_status;
    }
}

//==============================================================================
boost::asio::awaitable<std::variant<ReceivedResponse, ResponseFailure>>
readResponse (beast::tcp_stream& stream, beast::flat_buffer& buffer, ResponseOptions options)
{
    for (unsigned interimResponses = 0; interimResponses <= maxInterimResponses; ++interimResponses)
    {
        ResponseParser parser;
        parser.body_limit (options.m_maxBody);
        parser.skip (options.m_isHead);

        if (const auto error =
                co_await readMessage (stream, buffer, parser, maxHeaderBytes, options.m_beforeRead))
            co_return ResponseFailure { classify (error, parser.violation()), error };

        if (parser.isInterim())
            continue;

        const bool endsWithConnection = parser.need_eof();
        co_return ReceivedResponse { toResponse (parser.release()), endsWithConnection };
    }

    co_return ResponseFailure { ResponseError::syntax, http::error::unexpected_body };
}

} // namespace plankledge::detail
