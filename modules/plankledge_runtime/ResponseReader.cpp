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

constexpr unsigned http11 = 11; // as Beast counts versions

ResponseError classify (const beast::error_code& error, ResponseError violation) noexcept
{
    if (violation != ResponseError::none)
        return violation;

    if (error == http::error::header_limit || error == http::error::body_limit ||
        error == http::error::buffer_overflow)
        return ResponseError::tooLarge;

    if (error == boost::asio::error::no_buffer_space)
        return ResponseError::noMemory;

    const bool isFromParser = error.category() == http::make_error_code (http::error::bad_value).category();
    const bool isCut = error == http::error::end_of_stream || error == http::error::partial_message;
    return isFromParser && ! isCut ? ResponseError::syntax : ResponseError::incomplete;
}

} // namespace

//==============================================================================
bool LineFoldingDetector::consume (std::string_view bytes) noexcept
{
    for (const char byte : bytes)
    {
        if (m_isDone || m_isFolded)
            break;

        if (byte == '\n')
        {
            m_isDone = m_isAtLineStart;
            m_isAtLineStart = true;
            continue;
        }

        m_isFolded = m_isAtLineStart && (byte == ' ' || byte == '\t');
        m_isAtLineStart = m_isAtLineStart && byte == '\r';
    }

    return m_isFolded;
}

//==============================================================================
beast::error_code ResponseParser::check (std::string_view bytes) noexcept
{
    if (m_violation != ResponseError::none || ! m_lineFolding.consume (bytes))
        return {};

    m_violation = ResponseError::lineFolding;
    return http::error::bad_obs_fold;
}

void ResponseParser::on_field_impl (http::field field, beast::string_view name, beast::string_view value,
                                    beast::error_code&)
{
    if (! is_header_done())
        get().insert (field, name, value);
}

void ResponseParser::on_header_impl (beast::error_code& error)
{
    m_violation = findViolation();

    if (m_violation != ResponseError::none)
        error = http::error::bad_value;
}

/** @returns the rule that the header section breaks, if any */
ResponseError ResponseParser::findViolation() const
{
    const auto status = get().result_int();

    if (! isFinalStatus (status) && ! isInterimStatus (status))
        return ResponseError::status;

    // No other coding was asked for, and a message of HTTP/1.0 has none (RFC 9112, sections 6.1 and 7.4).
    const auto codings = get().count (http::field::transfer_encoding);
    const bool isChunked = beast::iequals (get()[http::field::transfer_encoding], "chunked");

    if (codings > 1 || (codings == 1 && (! isChunked || get().version() < http11)))
        return ResponseError::transferCoding;

    return ResponseError::none;
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

        const OnConsumed check = [&parser] (std::string_view bytes) { return parser.check (bytes); };

        if (const auto error =
                co_await readMessage (stream, buffer, parser, maxHeaderBytes, options.m_beforeRead, check))
            co_return ResponseFailure { classify (error, parser.violation()), error };

        if (parser.isInterim())
            continue;

        const bool endsWithConnection = parser.need_eof();
        co_return ReceivedResponse { toResponse (parser.release()), endsWithConnection };
    }

    co_return ResponseFailure { ResponseError::syntax, http::error::unexpected_body };
}

} // namespace plankledge::detail
