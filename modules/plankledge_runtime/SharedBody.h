#pragma once

#include "plankledge_core/SharedBytes.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <utility>

namespace plankledge::detail
{

//==============================================================================
/** A Beast body for messages to be written, whose bytes are not copied. */
struct SharedBody
{
    using value_type = SharedBytes;

    static std::uint64_t size (const value_type& body) { return body.size(); }

    class writer
    {
    public:
        using const_buffers_type = boost::asio::const_buffer;

        template <bool isRequest, class Fields>
        writer (const boost::beast::http::header<isRequest, Fields>&, const value_type& body)
            : m_body (body)
        {
        }

        void init (boost::beast::error_code& error) { error = {}; }

        boost::optional<std::pair<const_buffers_type, bool>> get (boost::beast::error_code& error)
        {
            error = {};
            return { { boost::asio::buffer (m_body.view()), false } };
        }

    private:
        const value_type& m_body;
    };
};

} // namespace plankledge::detail
