#include "platform/HttpCodec.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

using namespace plankledge::platform;

namespace
{

HttpHeaders withStamp (HttpHeaders headers)
{
    headers.emplace_back ("Server-Stamp", "s");
    return headers;
}

HttpResponse targetResponse (std::uint16_t status, HttpHeaders headers)
{
    HttpResponse response;
    response.m_status = status;
    response.m_headers = withStamp (std::move (headers));
    response.m_body = "body";
    return response;
}

struct ResponseRow
{
    const char* m_name;
    std::uint16_t m_status;
    HttpHeaders m_headers;
    TargetReplyKind m_kind;
};

const ResponseRow responseRows[] = {
    { "success", 200, {}, TargetReplyKind::answered },
    { "internal error of the target", 500, {}, TargetReplyKind::answered },
    { "timeout of the target", 504, {}, TargetReplyKind::answered },
    { "503 with Not-Executed", 503, { { "Not-Executed", "1" } }, TargetReplyKind::rejected },
    { "429 with Not-Executed", 429, { { "not-executed", "1" } }, TargetReplyKind::rejected },
    { "421 from another instance", 421, { { "Instance-Id", "i-2" } }, TargetReplyKind::rejected },
    { "503 without Not-Executed", 503, {}, TargetReplyKind::broken },
    { "429 without Not-Executed", 429, {}, TargetReplyKind::broken },
};

RelayResult failedResult (Outcome outcome, Reason reason)
{
    return { outcome, reason, {}, std::chrono::milliseconds (1250) };
}

struct FailureRow
{
    Outcome m_outcome;
    Reason m_reason;
    std::uint16_t m_status;
};

const FailureRow failureRows[] = {
    { Outcome::notRun, Reason::overloaded, 503 },        { Outcome::notRun, Reason::noRoute, 404 },
    { Outcome::notRun, Reason::noConfiguration, 503 },   { Outcome::unknown, Reason::targetBroken, 502 },
    { Outcome::unknown, Reason::deadlineExceeded, 504 }, { Outcome::unknown, Reason::targetShed, 502 },
    { Outcome::unknown, Reason::peerLost, 502 },
};

HttpRequest announcement (const std::string& method, const std::string& path, const std::string& body)
{
    HttpRequest request;
    request.m_method = method;
    request.m_target = path;
    request.m_body = body;
    return request;
}

} // namespace

//==============================================================================
TEST_CASE ("a request is forwarded without its hop-by-hop headers")
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/a/b?c=d";
    request.m_body = "body";
    request.m_headers = { { "Host", "Some.Example:80" },
                          { "Request-Id", "id-1" },
                          { "Deadline-Ms", "1500" },
                          { "Connection", "close, X-Hop" },
                          { "X-Hop", "1" },
                          { "X-Own", "1" },
                          { "X-Own", "2" },
                          { "Content-Length", "4" },
                          { "Caller-Service", "a lie" },
                          { "Expect-Instance", "a lie" },
                          { "Content-Type", "text/plain" } };
    const auto decoded = decodeRequest (request);
    const auto* received = std::get_if<RelayRequestReceived> (&decoded);
    REQUIRE (received != nullptr);
    CHECK (received->m_host == "some.example");
    CHECK (received->m_timeout == Duration (std::chrono::milliseconds (1500)));
    CHECK (received->m_content.m_id == "id-1");
    const HeaderList forwarded {
        { "Host", "Some.Example:80" }, { "X-Own", "1" }, { "X-Own", "2" }, { "Content-Type", "text/plain" }
    };
    CHECK (received->m_content.m_headers == forwarded);

    const auto sent = encodeTargetRequest (
        { 1, received->m_content, "web", "i-1", { "10.0.0.1", 1 }, std::chrono::microseconds (700900) });
    CHECK (sent.m_method == "POST");
    CHECK (sent.m_target == "/a/b?c=d");
    CHECK (sent.m_body == "body");
    CHECK (findHeader (sent.m_headers, "Deadline-Ms") == "700");
    CHECK (findHeader (sent.m_headers, "Caller-Service") == "web");
    CHECK (findHeader (sent.m_headers, "Expect-Instance") == "i-1");
    CHECK (findHeader (sent.m_headers, "Request-Id") == "id-1");
}

TEST_CASE ("a request without an id is rejected; a missing or malformed Deadline-Ms is ignored")
{
    HttpRequest request;
    CHECK (std::holds_alternative<HttpResponse> (decodeRequest (request)));

    for (const auto* time : { "", "soon", "1e3" })
    {
        CAPTURE (time);
        request.m_headers = { { "Request-Id", "id" }, { "Deadline-Ms", time } };
        const auto decoded = decodeRequest (request);
        REQUIRE (std::holds_alternative<RelayRequestReceived> (decoded));
        CHECK_FALSE (std::get<RelayRequestReceived> (decoded).m_timeout.has_value());
    }
}

TEST_CASE ("a target's response counts as a rejection only if it confirms that the request did not run")
{
    for (const auto& row : responseRows)
    {
        CAPTURE (row.m_name);
        CHECK (decodeTargetResponse (targetResponse (row.m_status, row.m_headers)).m_kind == row.m_kind);
    }
}

namespace
{

struct ConditionRow
{
    const char* m_name;
    HttpHeaders m_headers;
    TargetCondition m_condition;
};

const TargetCondition malformedLimit { std::nullopt, true, false };

const ConditionRow conditionRows[] = {
    { "nothing stated", {}, {} },
    { "fraction", { { "Server-Limit", "17.1" } }, { 17.1, false, false } },
    { "below one a second", { { "server-limit", " 0.2 " } }, { 0.2, false, false } },
    { "zero", { { "Server-Limit", "0" } }, { 0.0, false, false } },
    { "exponent", { { "Server-Limit", "2e-05" } }, { 2e-05, false, false } },
    { "twice the same", { { "Server-Limit", "3" }, { "Server-Limit", "3.0" } }, { 3.0, false, false } },
    { "empty", { { "Server-Limit", "" } }, malformedLimit },
    { "negative", { { "Server-Limit", "-1" } }, malformedLimit },
    { "not a number", { { "Server-Limit", "nan" } }, malformedLimit },
    { "infinite", { { "Server-Limit", "inf" } }, malformedLimit },
    { "out of range", { { "Server-Limit", "1e400" } }, malformedLimit },
    { "text behind the number", { { "Server-Limit", "5/s" } }, malformedLimit },
    { "hexadecimal", { { "Server-Limit", "0x10" } }, malformedLimit },
    { "too long", { { "Server-Limit", std::string (33, '1') } }, malformedLimit },
    { "two values", { { "Server-Limit", "3" }, { "Server-Limit", "4" } }, malformedLimit },
    { "a value and a malformed one", { { "Server-Limit", "x" }, { "Server-Limit", "4" } }, malformedLimit },
    { "leaving", { { "Server-Leaving", "1" } }, { std::nullopt, false, true } },
    { "not leaving", { { "Server-Leaving", "0" } }, {} },
};

} // namespace

TEST_CASE ("a target's rate limit and that it is leaving are read from any response and passed on with it")
{
    for (const auto& row : conditionRows)
        for (const std::uint16_t status : { 200, 500, 503 })
        {
            CAPTURE (row.m_name);
            CAPTURE (status);
            const auto reply = decodeTargetResponse (targetResponse (status, row.m_headers));
            REQUIRE (reply.m_condition.has_value());
            CHECK (*reply.m_condition == row.m_condition);
            CHECK (reply.m_answer.m_headers == withStamp (row.m_headers));
        }
}

namespace
{

struct LoadRow
{
    const char* m_name;
    std::vector<std::string> m_values; /**< of one header each */
    std::optional<TargetLoad> m_load;  /**< nullopt: malformed */
};

const TargetLoad threeFigures { 3, 0, 20, std::nullopt };
const TargetLoad fourFigures { 3, 12, 20, std::uint16_t { 150 } };

const LoadRow loadRows[] = {
    { "three figures", { "3,0,20" }, threeFigures },
    { "four figures", { "3,12,20,150" }, fourFigures },
    { "blanks", { "  3 ,\t12,20 , 150 " }, fourFigures },
    { "least values", { "0,0,1,1" }, TargetLoad { 0, 0, 1, std::uint16_t { 1 } } },
    { "greatest values",
      { "4294967295,4294967295,1000000,10000" },
      TargetLoad { 4294967295, 4294967295, 1000000, std::uint16_t { 10000 } } },
    { "leading zeros", { "03,012,0020,0150" }, fourFigures },
    { "twice the same", { "3,12,20,150", "3, 12, 20, 150" }, fourFigures },
    { "empty", { "" }, std::nullopt },
    { "blank", { " " }, std::nullopt },
    { "two figures", { "3,12" }, std::nullopt },
    { "five figures", { "3,12,20,150,1" }, std::nullopt },
    { "empty figure", { "3,,20" }, std::nullopt },
    { "comma at the end", { "3,12,20," }, std::nullopt },
    { "comma at the start", { ",3,12,20" }, std::nullopt },
    { "negative", { "-1,12,20" }, std::nullopt },
    { "with a sign", { "+3,12,20" }, std::nullopt },
    { "fraction", { "3,12,20,150.5" }, std::nullopt },
    { "exponent", { "3,12,2e1" }, std::nullopt },
    { "hexadecimal", { "0x3,12,20" }, std::nullopt },
    { "text", { "busy" }, std::nullopt },
    { "text behind a figure", { "3,12,20,150%" }, std::nullopt },
    { "blank within a figure", { "3,1 2,20" }, std::nullopt },
    { "other separator", { "3;12;20" }, std::nullopt },
    { "does not fit", { "4294967296,0,20" }, std::nullopt },
    { "far too long", { std::string (5000, '9') + ",0,20" }, std::nullopt },
    { "zero byte", { std::string ("3,12,20\0", 8) }, std::nullopt },
    { "no slots", { "3,12,0" }, std::nullopt },
    { "too many slots", { "3,12,1000001" }, std::nullopt },
    { "work time 0", { "3,12,20,0" }, std::nullopt },
    { "work time too long", { "3,12,20,10001" }, std::nullopt },
    { "work time beyond 16 bits", { "3,12,20,65686" }, std::nullopt },
    { "two that differ", { "3,12,20,150", "3,12,20,151" }, std::nullopt },
    { "two, one without a work time", { "3,12,20", "3,12,20,150" }, std::nullopt },
    { "one behind a malformed one", { "x", "3,12,20" }, std::nullopt },
    { "one between malformed ones", { "3,12,20", "x", "3,12,20" }, std::nullopt },
};

} // namespace

TEST_CASE ("a target's load is read from any response and not passed on; a malformed one yields none")
{
    for (const auto& row : loadRows)
        for (const std::uint16_t status : { 200, 500, 503 })
        {
            CAPTURE (row.m_name);
            CAPTURE (status);
            HttpHeaders headers { { "Server-Limit", "3" } };

            for (const auto& value : row.m_values)
                headers.emplace_back ("server-load", value);

            const auto reply = decodeTargetResponse (targetResponse (status, headers));
            REQUIRE (reply.m_condition.has_value());
            CHECK (reply.m_condition->m_load == row.m_load);
            CHECK (reply.m_condition->m_isLoadMalformed == ! row.m_load.has_value());
            CHECK (reply.m_condition->m_rateLimit == 3.0);
            CHECK_FALSE (reply.m_condition->m_isRateLimitMalformed);
            CHECK (reply.m_answer.m_headers == withStamp ({ { "Server-Limit", "3" } }));
        }
}

// Guards against an answer that is taken for the client's although it names another request or run as well.
TEST_CASE ("a target's response with two ids or two stamps is discarded")
{
    const std::pair<HttpHeaders, ResponseError> rows[] = {
        { { { "Request-Id", "1" }, { "Server-Stamp", "s" } }, ResponseError::none },
        { { { "Request-Id", "1" }, { "request-id", "1" }, { "Server-Stamp", "s" } }, ResponseError::none },
        { { { "Request-Id", "1" }, { "request-id", "2" }, { "Server-Stamp", "s" } },
          ResponseError::conflictingFields },
        { { { "Request-Id", "1" }, { "Server-Stamp", "s" }, { "Server-Stamp", "t" } },
          ResponseError::conflictingFields },
        { { { "Request-Id", "1" }, { "Server-Stamp", "s" }, { "server-stamp", "" } },
          ResponseError::conflictingFields },
    };

    for (const auto& [headers, error] : rows)
        for (const std::uint16_t status : { 200, 404, 500, 503 })
        {
            CAPTURE (status);
            auto all = headers;
            all.emplace_back ("Not-Executed", status == 503 ? "1" : "");
            const auto reply = decodeTargetResponse (targetResponse (status, all));
            CHECK (reply.m_error == error);
            CHECK ((reply.m_kind == TargetReplyKind::broken) == (error != ResponseError::none));
        }
}

TEST_CASE ("a target's success without a stamp is discarded; other answers need none")
{
    for (const std::uint16_t status : { 200, 204, 299, 300, 404, 500 })
        for (const auto& headers : { HttpHeaders(), HttpHeaders { { "Server-Stamp", "" } },
                                     HttpHeaders { { "server-stamp", "s" } } })
        {
            CAPTURE (status);
            const bool isMissing = status < 300 && findHeader (headers, "Server-Stamp").empty();
            HttpResponse response;
            response.m_status = status;
            response.m_headers = headers;
            const auto reply = decodeTargetResponse (response);
            CHECK (reply.m_error == (isMissing ? ResponseError::missingField : ResponseError::none));
            CHECK (reply.m_kind == (isMissing ? TargetReplyKind::broken : TargetReplyKind::answered));
        }
}

TEST_CASE ("a target's response is returned unchanged; a node's own error contains nothing from a target")
{
    RelayResult result { Outcome::completed, Reason::none, { 201, { { "Server-Stamp", "s" } }, "body" }, {} };
    const auto returned = encodeResponse ("id-1", result);
    CHECK (returned.m_status == 201);
    CHECK (returned.m_body == "body");
    CHECK (findHeader (returned.m_headers, "Server-Stamp") == "s");

    // Fields that a peer should have dropped.
    result.m_answer.m_headers = { { "Content-Length", "9" }, { "Transfer-Encoding", "gzip" },
                                  { "connection", "x-hop" }, { "X-Hop", "1" },
                                  { "Request-Id", "id-2" },  { "Server-Stamp", "s" } };
    CHECK (encodeResponse ("id-1", result).m_headers ==
           HttpHeaders { { "Server-Stamp", "s" }, { "Request-Id", "id-1" } });
    CHECK (findHeader (returned.m_headers, "Request-Id") == "id-1");

    for (const auto& row : failureRows)
    {
        CAPTURE (nameOf (row.m_reason));
        const auto response = encodeResponse ("id-1", failedResult (row.m_outcome, row.m_reason));
        CHECK (response.m_status == row.m_status);
        CHECK (findHeader (response.m_headers, "Server-Stamp").empty());
        CHECK (findHeader (response.m_headers, "Retry-After") == "1.250");

        // These statuses tell the sender that the request did not run.
        if (row.m_outcome == Outcome::unknown)
            CHECK ((row.m_status != 503 && row.m_status != 429 && row.m_status != 408));
    }
}

TEST_CASE ("a request and its response carry the same id")
{
    RelayToTarget dispatch;
    dispatch.m_content.m_id = "id-1";
    CHECK (requestIdOf (encodeTargetRequest (dispatch).m_headers) == "id-1");
    CHECK (requestIdOf (targetResponse (200, { { "request-id", "id-1" } }).m_headers) == "id-1");
    CHECK (requestIdOf (targetResponse (200, { { "Request-Id", "id-2" } }).m_headers) == "id-2");
    CHECK (requestIdOf (targetResponse (200, {}).m_headers).empty());
}

//==============================================================================
const ExpectedTarget expectedTarget { "huvo", "a", "10.128.0.9" };

/** @returns an announcement with one field replaced, or omitted if the replacement is empty */
std::string announcementWith (const std::string& field, const std::string& replacement)
{
    const std::pair<const char*, const char*> fields[] = {
        { "service", R"("huvo")" }, { "address", R"("10.128.0.9:8080")" },
        { "zone", R"("a")" },       { "version", R"("v1")" },
        { "slots", "168" },         { "state", R"("draining")" },
        { "coldLeftS", "1.5" },     { "callSeq", "4" },
        { "born", "1764722400123" }
    };
    std::string body = R"({"later":{})";

    for (const auto& [name, value] : fields)
    {
        const auto& text = name == field ? replacement : std::string (value);
        body += text.empty() ? "" : ",\"" + std::string (name) + "\":" + text;
    }

    return body + "}";
}

struct BadFieldRow
{
    const char* m_field;
    const char* m_value; /**< empty: the field is missing */
    AnnouncementError m_error;
};

const BadFieldRow badFieldRows[] = {
    { "service", "", AnnouncementError::badField },
    { "service", "7", AnnouncementError::badField },
    { "service", R"("other")", AnnouncementError::otherService },
    { "address", "", AnnouncementError::badField },
    { "address", R"("10.128.0.9")", AnnouncementError::badField },
    { "address", R"("10.128.0.9:99999")", AnnouncementError::badField },
    { "address", R"("10.128.0.8:8080")", AnnouncementError::otherAddress },
    { "address", R"(["10.128.0.9:8080"])", AnnouncementError::badField },
    { "zone", "", AnnouncementError::badField },
    { "zone", "null", AnnouncementError::badField },
    { "zone", R"("b")", AnnouncementError::otherZone },
    { "slots", "", AnnouncementError::badField },
    { "slots", R"("168")", AnnouncementError::badField },
    { "slots", "-5", AnnouncementError::badField },
    { "slots", "0", AnnouncementError::badField },
    { "slots", "1.5", AnnouncementError::badField },
    { "slots", "4294967296", AnnouncementError::badField },
    { "state", "", AnnouncementError::badField },
    { "state", "1", AnnouncementError::badField },
    { "state", R"("asleep")", AnnouncementError::unknownState },
    { "state", R"("")", AnnouncementError::unknownState },
    { "callSeq", "", AnnouncementError::badField },
    { "callSeq", "-4", AnnouncementError::badField },
    { "callSeq", "4.5", AnnouncementError::badField },
    { "callSeq", "1e300", AnnouncementError::badField },
    { "callSeq", "true", AnnouncementError::badField },
    { "born", R"("1764722400123")", AnnouncementError::badField },
    { "born", "null", AnnouncementError::badField },
    { "born", "-1", AnnouncementError::badField },
    { "born", "1764722400123.5", AnnouncementError::badField },
    { "born", "1e30", AnnouncementError::badField },
};

TEST_CASE ("announcements are decoded")
{
    const auto decoded = decodeAnnouncement (
        announcement ("PUT", "/-/instances/i-1", announcementWith ("", "")), expectedTarget);
    const auto* announced = std::get_if<TargetAnnounced> (&decoded);
    REQUIRE (announced != nullptr);
    CHECK (*announced == TargetAnnounced { "i-1",
                                           AnnouncedState::draining,
                                           4,
                                           "huvo",
                                           { "10.128.0.9", 8080 },
                                           168,
                                           Milliseconds (1764722400123) });

    const auto withoutStartTime = decodeAnnouncement (
        announcement ("PUT", "/-/instances/i-1", announcementWith ("born", "")), expectedTarget);
    REQUIRE (std::holds_alternative<TargetAnnounced> (withoutStartTime));
    CHECK_FALSE (std::get<TargetAnnounced> (withoutStartTime).m_startedAt.has_value());

    const auto gone = decodeAnnouncement (announcement ("DELETE", "/-/instances/i-1", ""), expectedTarget);
    REQUIRE (std::holds_alternative<TargetAnnounced> (gone));
    CHECK (std::get<TargetAnnounced> (gone).m_state == AnnouncedState::gone);
}

TEST_CASE ("an announcement with one bad field is rejected with the matching error")
{
    for (const auto& row : badFieldRows)
    {
        CAPTURE (row.m_field);
        CAPTURE (row.m_value);
        const auto decoded = decodeAnnouncement (
            announcement ("PUT", "/-/instances/i-1", announcementWith (row.m_field, row.m_value)),
            expectedTarget);
        REQUIRE (std::holds_alternative<AnnouncementError> (decoded));
        CHECK (nameOf (std::get<AnnouncementError> (decoded)) == nameOf (row.m_error));
        CHECK (encodeAnnouncementError (std::get<AnnouncementError> (decoded)).m_status == 400);
    }
}

TEST_CASE ("malformed announcements are rejected")
{
    const auto body = announcementWith ("", "");
    const HttpRequest bad[] = { announcement ("PUT", "/-/instances/", body),
                                announcement ("PUT", "/elsewhere/i-1", body),
                                announcement ("POST", "/-/instances/i-1", body),
                                announcement ("PUT", "/-/instances/i-1", "{"),
                                announcement ("PUT", "/-/instances/i-1", "\xff\xfe"),
                                announcement ("PUT", "/-/instances/i-1", "[]"),
                                announcement ("PUT", "/-/instances/i-1", R"({"address":"10.0.0.1"})"),
                                announcement ("PUT", "/-/instances/i-1", R"({"address":"10.0.0.1:99999"})"),
                                announcement ("PUT", "/-/instances/" + std::string (300, 'i'), body),
                                announcement ("DELETE", "/-/instances/", "") };

    for (const auto& request : bad)
    {
        CAPTURE (request.m_method + " " + request.m_target + " " + std::string (request.m_body));
        CHECK (std::holds_alternative<AnnouncementError> (decodeAnnouncement (request, expectedTarget)));
    }
}

} // namespace plankledge::test
