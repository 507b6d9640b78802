#pragma once

#include "plankledge_core/HttpSyntax.h"
#include "plankledge_core/ResponseError.h"
#include "plankledge_runtime/MessageReader.h"

#include <variant>

/** Reads HTTP responses. Internal to the HTTP clients. */
namespace plankledge::detail
{

//==============================================================================
/** Finds lines of a header section that continue the one before (RFC 9112, section 5.2). Beast joins them, so
    that the parsed fields don't show it. */
class LineFoldingDetector
{
public:
    //==============================================================================
    /** @param bytes   the next ones of the message

        @returns whether a line of the header section has begun with a blank by then
    */
    bool consume (std::string_view bytes) noexcept;

private:
    //==============================================================================
    bool m_isAtLineStart = true;
    bool m_isDone = false; /**< the header section is over */
    bool m_isFolded = false;
};

//==============================================================================
/** A Boost.Beast parser that also checks what Beast leaves to its users: whether the response has a status
    that a client can interpret (RFC 9110, section 15), no transfer coding but chunked, and no folded lines.
    Fields of a trailer section are dropped, which Beast adds to those of the header section (RFC 9110,
   section 6.5.1). */
class ResponseParser : public boost::beast::http::response_parser<boost::beast::http::string_body>
{
public:
    //==============================================================================
    /** @returns the rule that the response breaks; none: Beast alone decides */
    ResponseError violation() const noexcept { return m_violation; }

    /** Checks bytes that the parser has consumed.

        @returns an error if the response breaks a rule
    */
    boost::beast::error_code check (std::string_view bytes) noexcept;

    /** @returns whether another response to the same request follows */
    bool isInterim() const { return isInterimStatus (get().result_int()); }

private:
    //==============================================================================
    ResponseError findViolation() const;

    void on_field_impl (boost::beast::http::field field, boost::beast::string_view name,
                        boost::beast::string_view value, boost::beast::error_code& error) override;
    void on_header_impl (boost::beast::error_code& error) override;

    ResponseError m_violation = ResponseError::none;
    LineFoldingDetector m_lineFolding;
};

//==============================================================================
/** Bounds and hooks for the response to one request. */
struct ResponseOptions
{
    bool m_isHead = false; /**< it answers a HEAD request, and so has no body */
    std::size_t m_maxBody = maxBodyBytes;
    BeforeRead m_beforeRead = nullptr; /**< may be empty */
};

/** A complete final response. */
struct ReceivedResponse
{
    HttpResponse m_response;
    bool m_endsWithConnection = false; /**< it has no length: whether it is complete depends on how the
                                          connection ended (RFC 9112, section 8) */
};

/** Why there is no response. */
struct ResponseFailure
{
    ResponseError m_error = ResponseError::none;
    boost::beast::error_code m_cause; /**< reported by the connection or by Beast */
};

/** Reads the next final response; interim responses (100 to 199) before it are skipped.

    @param buffer   bytes that were received but not parsed

    @returns the response, or why it is discarded; the connection can't be used again after that
*/
boost::asio::awaitable<std::variant<ReceivedResponse, ResponseFailure>>
readResponse (boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer, ResponseOptions options);

} // namespace plankledge::detail
